// Estimates how far a replica lags behind its primary, from whether it had the positions that reads required.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "base/types.h"

namespace cairnhollow::registered::proxy {

/// An answer that shows a smaller lag lowers the estimate by the difference divided by this.
inline constexpr int kLagSmoothing = 8;
/// A missing position raises the estimate to its age plus that age divided by this: the lag exceeds the age
/// by an unknown amount.
inline constexpr int kLagStepDivisor = 4;
/// Half-life of the estimate without answers: a replica avoided for its lag gets no reads that could lower
/// it.
inline constexpr Duration kLagHalfLife = std::chrono::milliseconds(400);

class ReplicaLag {
 public:
  /// Records whether the replica had a position that the primary had `age` ago.
  void record(Duration age, bool had_position, TimePoint now) {
    const Duration before = at(now);
    recorded_at_ = now;
    if (had_position) {
      lag_ = before + (std::min(age, before) - before) / kLagSmoothing;
    } else {
      lag_ = std::max(before, age + age / kLagStepDivisor);
    }
  }
  [[nodiscard]] Duration at(TimePoint now) const {
    const auto half_lives = (now - recorded_at_) / kLagHalfLife;
    constexpr std::int64_t kMaxHalfLives = 30;
    return half_lives >= kMaxHalfLives ? Duration(0) : lag_ / (std::int64_t{1} << half_lives);
  }

 private:
  Duration lag_{0};
  TimePoint recorded_at_{};
};

}  // namespace cairnhollow::registered::proxy
