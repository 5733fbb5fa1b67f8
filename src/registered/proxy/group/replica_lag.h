// How far a replica is thought to be behind its primary, from whether it had the positions that reads asked
// for.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "base/types.h"

namespace cairnhollow::registered::proxy {

/// The part of the way that the lag falls with each answer that shows a smaller one. Chosen, not measured.
inline constexpr int kLagSmoothing = 8;
/// What is added to the age of a position that was not there, as a part of it: the lag is greater than that
/// age, by how much is not known. Chosen, not measured.
inline constexpr int kLagStepDivisor = 4;
/// The lag halves in this time without news, since a replica that is passed over for it tells nothing.
/// Chosen, not measured.
inline constexpr Duration kLagHalfLife = std::chrono::milliseconds(400);

class ReplicaLag {
 public:
  /// A position that the primary had `age` ago was there, or was not.
  void record(Duration age, bool was_there, TimePoint now) {
    const Duration before = at(now);
    recorded_at_ = now;
    if (was_there) {
      lag_ = before + (std::min(age, before) - before) / kLagSmoothing;
    } else {
      lag_ = std::max(before, age + age / kLagStepDivisor);
    }
  }
  [[nodiscard]] Duration at(TimePoint now) const {
    const auto half_lives = (now - recorded_at_) / kLagHalfLife;
    constexpr std::int64_t kNothingLeft = 30;
    return half_lives >= kNothingLeft ? Duration(0) : lag_ / (std::int64_t{1} << half_lives);
  }

 private:
  Duration lag_{0};
  TimePoint recorded_at_{};
};

}  // namespace cairnhollow::registered::proxy
