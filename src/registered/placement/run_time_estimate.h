// Estimate of the time from sending a statement until its answer, for a group's statements as observed by one
// proxy.
#pragma once

#include <chrono>
#include <cstdlib>

#include "base/types.h"

namespace cairnhollow::registered::placement {

/// Assumed before the first answer: several times the work of a typical statement, as caches are cold then.
inline constexpr Duration kInitialRunTime = std::chrono::milliseconds(60);

/// Smoothed mean plus four mean deviations, as TCP estimates its retransmission timeout (RFC 6298): few
/// statements take longer.
class RunTimeEstimate {
 public:
  void record(Duration took) {
    if (!has_samples_) {
      has_samples_ = true;
      mean_ = took;
      deviation_ = took / 2;
      return;
    }
    const Duration error = took > mean_ ? took - mean_ : mean_ - took;
    deviation_ += (error - deviation_) / kDeviationDivisor;
    mean_ += (took - mean_) / kMeanDivisor;
  }
  [[nodiscard]] Duration value() const {
    return has_samples_ ? mean_ + deviation_ * kDeviations : kInitialRunTime;
  }

 private:
  /// Weights of a new sample, and the number of deviations, of RFC 6298.
  static constexpr int kMeanDivisor = 8;
  static constexpr int kDeviationDivisor = 4;
  static constexpr int kDeviations = 4;

  bool has_samples_ = false;
  Duration mean_{0};
  Duration deviation_{0};
};

}  // namespace cairnhollow::registered::placement
