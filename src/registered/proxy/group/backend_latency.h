// How long statements take at the backends of a group, as this proxy saw it.
#pragma once

#include <chrono>
#include <cmath>

#include "base/types.h"

namespace cairnhollow::registered::proxy {

/// What a backend is thought to take before anything is known. Chosen, not measured.
inline constexpr double kFirstLatencyMs = 15.0;
/// Without news a backend's latency goes back to the group's usual one, by a factor of e in this time: a
/// backend that is passed over for its latency tells no better one. Chosen, not measured.
inline constexpr Duration kLatencyMemory = std::chrono::seconds(1);
/// Parts of the way that the two smoothed values go with each answer. Chosen, not measured.
inline constexpr double kLatencyWeight = 0.15;
inline constexpr double kUsualLatencyWeight = 0.02;

/// Of one backend, smoothed.
class BackendLatency {
 public:
  void record(double took_ms, double usual_ms, TimePoint now) {
    const double before = at(now, usual_ms);
    latency_ms_ = before + kLatencyWeight * (took_ms - before);
    recorded_at_ = now;
  }
  /// In milliseconds.
  [[nodiscard]] double at(TimePoint now, double usual_ms) const {
    const double faded = std::chrono::duration<double>(now - recorded_at_) / kLatencyMemory;
    return usual_ms + (latency_ms_ - usual_ms) * std::exp(-faded);
  }

 private:
  double latency_ms_ = kFirstLatencyMs;
  TimePoint recorded_at_{};
};

/// Of all backends of a group, over a longer time.
class UsualLatency {
 public:
  void record(double took_ms) { latency_ms_ += kUsualLatencyWeight * (took_ms - latency_ms_); }
  [[nodiscard]] double ms() const { return latency_ms_; }

 private:
  double latency_ms_ = kFirstLatencyMs;
};

}  // namespace cairnhollow::registered::proxy
