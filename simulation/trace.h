// The trace of one simulated run: a hash over every event, and the log lines when asked for. The same seed
// gives the same hash in any process and on any machine of the same architecture.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "base/types.h"

namespace cairnhollow::simulation {

class Trace {
 public:
  /// `print`: write log lines to standard error as well.
  explicit Trace(bool print) : print_(print) {}

  /// Takes one event into the hash.
  void event(TimePoint time, std::string_view kind, std::uint64_t actor, std::string_view content);
  /// Takes a log line into the hash and prints it when asked to.
  void log_line(TimePoint time, std::uint64_t actor, const std::string& line);
  /// `observer` is called with each further log line.
  void observe_log(std::function<void(const std::string&)> observer) { log_observer_ = std::move(observer); }
  [[nodiscard]] std::uint64_t hash() const { return hash_; }
  [[nodiscard]] std::uint64_t event_count() const { return event_count_; }

 private:
  bool print_;
  std::function<void(const std::string&)> log_observer_;
  std::uint64_t hash_ = 0;
  std::uint64_t event_count_ = 0;
};

}  // namespace cairnhollow::simulation
