#include "standins/platform/platform_server.h"

#include <boost/json.hpp>
#include <deque>
#include <exception>
#include <map>
#include <string>

#include "declared/backend/json_values.h"

namespace cairnhollow::standins::platform {

namespace json = boost::json;
using runtime::HttpConnectionId;
using runtime::HttpRequest;
using runtime::HttpResponse;

namespace {

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusBadRequest = 400;
constexpr unsigned kStatusNotFound = 404;

struct MachineChange {
  std::string name;
  std::string state;  ///< "live", "leaving" or "gone"
  TimePoint visible_at;
};

/// The list as the platform shows it: changes become visible late, in order, or never once frozen.
class MachineList {
 public:
  void change(MachineChange change) { changes_.push_back(std::move(change)); }
  void freeze(bool frozen, TimePoint now) {
    visible(now);
    frozen_ = frozen;
  }

  const std::map<std::string, std::string>& visible(TimePoint now) {
    while (!frozen_ && !changes_.empty() && changes_.front().visible_at <= now) {
      const auto& change = changes_.front();
      if (change.state == "gone") {
        machines_.erase(change.name);
      } else {
        machines_[change.name] = change.state;
      }
      changes_.pop_front();
    }
    return machines_;
  }

 private:
  std::map<std::string, std::string> machines_;  ///< state by name
  std::deque<MachineChange> changes_;            ///< in order of visible_at
  bool frozen_ = false;
};

HttpResponse make_response(unsigned status, const json::value& body) {
  HttpResponse response;
  response.status = status;
  response.headers.fields["content-type"] = "application/json";
  response.body = json::serialize(body);
  return response;
}

class PlatformServer final : public runtime::Role, private runtime::HttpHandler {
 public:
  PlatformServer(runtime::Runtime& runtime, PlatformSettings settings)
      : runtime_(runtime), settings_(std::move(settings)) {}

  Awaitable<bool> start(Reason& reason) override {
    server_ = runtime_.http().serve(settings_.endpoint, *this, reason);
    co_return server_ != nullptr;
  }

  Awaitable<void> drain() override {
    if (server_) server_->close();
    co_return;
  }

 private:
  Awaitable<HttpResponse> handle(HttpRequest request, HttpConnectionId /*connection*/) override {
    if (request.target == "/v1/machines") co_return list_machines();
    if (request.target == "/admin/machines") co_return change_machine(request);
    if (request.target == "/admin/freeze") co_return freeze(request);
    co_return make_response(kStatusNotFound, json::object{{"detail", "no such call"}});
  }

  HttpResponse list_machines() {
    json::array machines;
    for (const auto& [name, state] : list_.visible(runtime_.now())) {
      machines.emplace_back(json::object{{"name", name}, {"state", state}});
    }
    return make_response(kStatusOk, json::object{{"machines", std::move(machines)}});
  }

  HttpResponse change_machine(const HttpRequest& request) {
    try {
      const auto body = declared::backend::parse_object(request.body);
      MachineChange change;
      change.name = declared::backend::read_text(body, "name");
      change.state = declared::backend::read_text(body, "state");
      change.visible_at = runtime_.now() + settings_.list_lag;
      if (change.state != "live" && change.state != "leaving" && change.state != "gone") {
        return make_response(kStatusBadRequest,
                             json::object{{"detail", "state: must be live, leaving or gone"}});
      }
      list_.change(std::move(change));
      return make_response(kStatusOk, json::object{});
    } catch (const std::exception& error) {
      return make_response(kStatusBadRequest, json::object{{"detail", error.what()}});
    }
  }

  /// Body: {"frozen": true|false}; true when there is no body.
  HttpResponse freeze(const HttpRequest& request) {
    try {
      const bool frozen =
          request.body.empty() ||
          declared::backend::read_flag(declared::backend::parse_object(request.body), "frozen");
      list_.freeze(frozen, runtime_.now());
      return make_response(kStatusOk, json::object{});
    } catch (const std::exception& error) {
      return make_response(kStatusBadRequest, json::object{{"detail", error.what()}});
    }
  }

  runtime::Runtime& runtime_;
  PlatformSettings settings_;
  MachineList list_;
  std::unique_ptr<runtime::HttpServer> server_;
};

}  // namespace

std::unique_ptr<runtime::Role> make_platform(runtime::Runtime& runtime, PlatformSettings settings) {
  return std::make_unique<PlatformServer>(runtime, std::move(settings));
}

}  // namespace cairnhollow::standins::platform
