// Limits the log lines per event, so that a flood of one event hides neither other events nor its own later
// lines.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cairnhollow::runtime {

/// Maximum number of lines of one event per second; further lines are only counted.
inline constexpr std::uint32_t kLogLinesPerSecond = 60;

class LogLimiter {
 public:
  /// Returns std::nullopt if the line must be suppressed, else the number of lines of this event suppressed
  /// since the last one written.
  std::optional<std::uint64_t> admit(std::string_view event, std::int64_t now_microseconds);

 private:
  struct Budget {
    std::int64_t second = 0;
    std::uint32_t written = 0;
    std::uint64_t suppressed = 0;
  };
  std::map<std::string, Budget, std::less<>> budgets_;  ///< bounded, as event names come from a fixed set
};

}  // namespace cairnhollow::runtime
