// The steps from a proxy's start to its first answer, each with the time when it was first reached.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/types.h"

namespace cairnhollow::registered::proxy {

enum class ReturnStep : std::uint8_t {
  kSession,  ///< a caller's session was let in
  kLease,    ///< control granted a serving lease
  kPrimary,  ///< a group's open primary was known
  kLink,     ///< a link to a backend was open
  kAnswer,   ///< a backend answered a statement
};
inline constexpr std::size_t kReturnSteps = static_cast<std::size_t>(ReturnStep::kAnswer) + 1;

class ReturnSteps {
 public:
  explicit ReturnSteps(TimePoint started) : started_(started) {}

  /// Only the first time of a step counts.
  void record(ReturnStep step, TimePoint now) {
    auto& after = after_.at(static_cast<std::size_t>(step));
    if (!after) after = now - started_;
  }
  /// Time from the start until the step; 0 if it was not reached.
  [[nodiscard]] Duration after(ReturnStep step) const {
    return after_.at(static_cast<std::size_t>(step)).value_or(Duration(0));
  }
  /// Whether all steps were reached. True once.
  bool take_completed() {
    const bool complete =
        std::all_of(after_.begin(), after_.end(), [](const auto& after) { return after.has_value(); });
    if (!complete || taken_) return false;
    taken_ = true;
    return true;
  }

 private:
  TimePoint started_;
  std::array<std::optional<Duration>, kReturnSteps> after_{};
  bool taken_ = false;
};

}  // namespace cairnhollow::registered::proxy
