// Smoothed statement latency of a group's backends, as observed by this proxy.
#pragma once

#include <chrono>
#include <cmath>

#include "base/types.h"

namespace cairnhollow::registered::proxy {

/// Latency assumed for a backend before its first answer.
inline constexpr double kInitialLatencyMs = 15.0;
/// Time constant with which a backend's estimate decays towards the group's average while it gets no
/// statements, so that a backend avoided for its latency is tried again.
inline constexpr Duration kLatencyDecayTime = std::chrono::seconds(1);
/// Weights of a new sample in the moving averages of one backend and of the whole group.
inline constexpr double kLatencyWeight = 0.15;
inline constexpr double kGroupLatencyWeight = 0.02;

/// Exponential moving average of one backend's latency.
class BackendLatency {
 public:
  void record(double took_ms, double group_latency_ms, TimePoint now) {
    const double before = at(now, group_latency_ms);
    latency_ms_ = before + kLatencyWeight * (took_ms - before);
    recorded_at_ = now;
  }
  /// The estimate at `now` in milliseconds, decayed towards `group_latency_ms`.
  [[nodiscard]] double at(TimePoint now, double group_latency_ms) const {
    const double elapsed = std::chrono::duration<double>(now - recorded_at_) / kLatencyDecayTime;
    return group_latency_ms + (latency_ms_ - group_latency_ms) * std::exp(-elapsed);
  }

 private:
  double latency_ms_ = kInitialLatencyMs;
  TimePoint recorded_at_{};
};

/// Exponential moving average over all backends of a group, with a longer memory.
class GroupLatency {
 public:
  void record(double took_ms) { latency_ms_ += kGroupLatencyWeight * (took_ms - latency_ms_); }
  [[nodiscard]] double ms() const { return latency_ms_; }

 private:
  double latency_ms_ = kInitialLatencyMs;
};

}  // namespace cairnhollow::registered::proxy
