// A runtime that reports logged events to a test synchronously.
#pragma once

#include <functional>
#include <string>

#include "runtime/runtime.h"

namespace cairnhollow::consensus {

/// Called with the event name before it is logged.
using LogObserver = std::function<void(std::string_view event)>;

class ObservedLogger : public runtime::Logger {
 public:
  ObservedLogger(runtime::Logger& logger, LogObserver observer)
      : logger_(logger), observer_(std::move(observer)) {}

  void log(runtime::LogLevel level, std::string_view event,
           std::initializer_list<runtime::LogField> fields) override {
    observer_(event);
    logger_.log(level, event, fields);
  }
  void log(runtime::LogLevel level, std::string_view event, const Reason& reason,
           std::initializer_list<runtime::LogField> fields) override {
    observer_(event);
    logger_.log(level, event, reason, fields);
  }

 private:
  runtime::Logger& logger_;
  LogObserver observer_;
};

/// Forwards everything but the log unchanged.
class ObservedRuntime : public runtime::Runtime {
 public:
  ObservedRuntime(runtime::Runtime& runtime, LogObserver observer)
      : runtime_(runtime), logger_(runtime.logger(), std::move(observer)) {}

  [[nodiscard]] TimePoint now() const override { return runtime_.now(); }
  [[nodiscard]] std::int64_t wall_clock_microseconds() const override {
    return runtime_.wall_clock_microseconds();
  }
  std::unique_ptr<runtime::Timer> make_timer() override { return runtime_.make_timer(); }
  void spawn(std::string_view name, Awaitable<void> task) override { runtime_.spawn(name, std::move(task)); }
  runtime::Network& network() override { return runtime_.network(); }
  runtime::HttpTransport& http() override { return runtime_.http(); }
  runtime::LineTransport& lines() override { return runtime_.lines(); }
  runtime::Storage& storage() override { return runtime_.storage(); }
  runtime::Random& random() override { return runtime_.random(); }
  runtime::Logger& logger() override { return logger_; }

 private:
  runtime::Runtime& runtime_;
  ObservedLogger logger_;
};

}  // namespace cairnhollow::consensus
