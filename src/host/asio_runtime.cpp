#include "host/asio_runtime.h"

#include <boost/asio/co_spawn.hpp>

#include "http/http_transport.h"
#include "runtime/asio/asio_lines.h"
#include "runtime/asio/asio_network.h"
#include "runtime/asio/asio_timer.h"
#include "runtime/asio/posix_storage.h"
#include "runtime/json_logger.h"
#include "runtime/seeded_random.h"

namespace cairnhollow::host {
namespace {

std::int64_t system_microseconds() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count();
}

class AsioRuntime : public runtime::Runtime {
 public:
  AsioRuntime(boost::asio::io_context& context, const AsioRuntimeSettings& settings)
      : executor_(context.get_executor()),
        logger_({settings.program, settings.node, settings.zone}, settings.log_level, system_microseconds,
                runtime::standard_output_sink()),
        random_(settings.random_seed),
        storage_(executor_, settings.data_folder),
        network_(executor_, &traffic_),
        http_(http::make_http_transport(executor_, *this)),
        lines_(executor_, &traffic_) {}

  [[nodiscard]] TimePoint now() const override { return runtime::steady_now(); }
  [[nodiscard]] std::int64_t wall_clock_microseconds() const override { return system_microseconds(); }
  std::unique_ptr<runtime::Timer> make_timer() override {
    return std::make_unique<runtime::AsioTimer>(executor_);
  }
  void spawn(std::string_view name, Awaitable<void> task) override;

  runtime::Network& network() override { return network_; }
  runtime::HttpTransport& http() override { return *http_; }
  runtime::LineTransport& lines() override { return lines_; }
  runtime::Storage& storage() override { return storage_; }
  runtime::Random& random() override { return random_; }
  runtime::Logger& logger() override { return logger_; }
  [[nodiscard]] runtime::Traffic traffic() const override { return traffic_; }

 private:
  void report_fault(const std::string& coroutine, const std::exception_ptr& fault);

  boost::asio::any_io_executor executor_;
  runtime::Traffic traffic_;
  runtime::JsonLogger logger_;
  runtime::SeededRandom random_;
  runtime::PosixStorage storage_;
  runtime::AsioNetwork network_;
  std::unique_ptr<runtime::HttpTransport> http_;
  runtime::AsioLineTransport lines_;
};

void AsioRuntime::spawn(std::string_view name, Awaitable<void> task) {
  auto on_end = [this, name = std::string(name)](const std::exception_ptr& fault) {
    if (fault) report_fault(name, fault);
  };
  boost::asio::co_spawn(executor_, std::move(task), std::move(on_end));
}

void AsioRuntime::report_fault(const std::string& coroutine, const std::exception_ptr& fault) {
  Reason reason{ReasonCode::kInternal, coroutine, "", "an unknown exception left the coroutine"};
  try {
    std::rethrow_exception(fault);
  } catch (const std::exception& error) {
    reason.detail = error.what();
  } catch (...) {
    // `reason` already says so.
  }
  logger_.log(runtime::LogLevel::kError, "coroutine_failed", reason, {});
}

}  // namespace

std::unique_ptr<runtime::Runtime> make_asio_runtime(boost::asio::io_context& context,
                                                    const AsioRuntimeSettings& settings) {
  return std::make_unique<AsioRuntime>(context, settings);
}

}  // namespace cairnhollow::host
