// What an overload did to callers: what was served of what could be, how the urgent writes fared, and how
// soon service was ordinary again. "Goodput" as in Google's SRE book, chapter 22 (cascading failures).
#pragma once

#include <cstdint>

#include "base/types.h"
#include "standins/callers/history.h"

namespace cairnhollow::simulation {

/// A time in which callers offered more than the deployment can run. World time, which is the callers' too.
struct OverloadWindow {
  TimePoint from{};
  TimePoint until{};
  double capacity = 0;                              ///< statements a second that all slots together run
  Duration urgent_limit = std::chrono::seconds(1);  ///< the deadline of an urgent write
};

/// "Urgent" are appends of high priority that may not be repeated: trip-ends, unlocks and recorded answers.
struct OverloadFigures {
  double goodput = 0;  ///< statements answered a second in the window, as a share of the capacity
  double offered = 0;  ///< attempts a second in the window, as a share of the capacity
  std::uint64_t urgent_writes = 0;
  std::uint64_t urgent_refused = 0;  ///< attempts
  std::uint64_t urgent_late = 0;     ///< attempts that took longer than the deadline, or were not answered
  Duration urgent_slowest{0};
  /// Attempts of any kind that began kReturnLimit or more after the window.
  std::uint64_t refused_after = 0;
  /// From the window's end to the last refusal; zero when there is none.
  Duration last_refusal_after{0};
  Duration p99_before{0};  ///< of answered reads and appends that began before the window
  Duration p99_after{0};   ///< and kReturnLimit or more after it
};

/// Service is ordinary again this long after an overload.
inline constexpr Duration kReturnLimit = std::chrono::seconds(2);

/// `history` is in the order in which its attempts began.
OverloadFigures measure_overload(const standins::callers::History& history, const OverloadWindow& window);

}  // namespace cairnhollow::simulation
