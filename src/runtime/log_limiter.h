// Bounds how many lines of each event a process logs, so that a storm of one event hides neither itself nor
// others.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cairnhollow::runtime {

/// Lines of one event in one second at most; more are counted instead.
inline constexpr std::uint32_t kLogLinesPerSecond = 60;

class LogLimiter {
 public:
  /// Empty: the line is not to be written. Else how many lines of this event were left out before it.
  std::optional<std::uint64_t> admit(std::string_view event, std::int64_t now_microseconds);

 private:
  struct Budget {
    std::int64_t second = 0;
    std::uint32_t written = 0;
    std::uint64_t left_out = 0;
  };
  std::map<std::string, Budget, std::less<>> budgets_;  ///< events are a closed list
};

}  // namespace cairnhollow::runtime
