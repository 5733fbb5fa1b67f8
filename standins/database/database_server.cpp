#include "standins/database/database_server.h"

#include "standins/database/database_handler.h"
#include "standins/database/database_member.h"
#include "standins/database/pull_loop.h"

namespace cairnhollow::standins::database {

namespace {

constexpr Duration kDrainPoll = std::chrono::milliseconds(5);
constexpr Duration kDrainLimit = std::chrono::seconds(30);

class DatabaseServer final : public runtime::Role {
 public:
  DatabaseServer(runtime::Runtime& runtime, DatabaseSettings settings)
      : runtime_(runtime),
        settings_(std::move(settings)),
        tunables_(tunables_from(settings_)),
        member_(runtime, settings_, tunables_),
        handler_(runtime, settings_, tunables_, member_),
        pull_loop_(runtime, member_, tunables_) {}

  Awaitable<bool> start(Reason& reason) override {
    const bool loaded = co_await member_.start(reason);
    if (!loaded) co_return false;
    server_ = runtime_.http().serve(settings_.endpoint, handler_, reason);
    if (!server_) co_return false;
    runtime_.spawn("database_pull", pull_loop_.run());
    co_return true;
  }

  Awaitable<void> drain() override {
    if (server_) server_->stop_accepting();
    const auto give_up = runtime_.now() + kDrainLimit;
    while (handler_.work_in_flight() > 0 && runtime_.now() < give_up) {
      co_await runtime_.sleep_for(kDrainPoll);
    }
    member_.stop();
    if (server_) server_->close();
  }

 private:
  runtime::Runtime& runtime_;
  DatabaseSettings settings_;
  Tunables tunables_;
  DatabaseMember member_;
  DatabaseHandler handler_;
  PullLoop pull_loop_;
  std::unique_ptr<runtime::HttpServer> server_;
};

}  // namespace

std::unique_ptr<runtime::Role> make_database(runtime::Runtime& runtime, DatabaseSettings settings) {
  return std::make_unique<DatabaseServer>(runtime, std::move(settings));
}

}  // namespace cairnhollow::standins::database
