// How a backend has done lately, from what this proxy saw of it.
#include <algorithm>
#include <chrono>
#include <cmath>

#include "registered/proxy/group/group_access.h"

namespace cairnhollow::registered::proxy {

using std::chrono::duration;

double BackendUse::latency_ms(TimePoint now, double usual_ms) const {
  const double age = duration<double>(now - latency_noted_at_) / kLatencyMemory;
  return usual_ms + (latency_ms_ - usual_ms) * std::exp(-age);
}

void BackendUse::record_latency(double took_ms, double usual_ms, TimePoint now) {
  const double before = latency_ms(now, usual_ms);
  latency_ms_ = before + kLatencyWeight * (took_ms - before);
  latency_noted_at_ = now;
}

Duration BackendUse::lag(TimePoint now) const {
  const auto half_lives = (now - lag_noted_at_) / kLagHalfLife;
  constexpr std::int64_t kNothingLeft = 30;
  return half_lives >= kNothingLeft ? Duration(0) : lag_ / (std::int64_t{1} << half_lives);
}

void BackendUse::record_applied(Duration age, bool was_there, TimePoint now) {
  const Duration before = lag(now);
  lag_noted_at_ = now;
  if (was_there) {
    lag_ = before + (std::min(age, before) - before) / kLagSmoothing;
  } else {
    lag_ = std::max(before, age + age / kLagStepDivisor);
  }
}

bool BackendUse::record_shown(std::uint64_t term, Position position) {
  if (term != shown_term_) shown_ = Position{};
  shown_term_ = term;
  // Entries of earlier terms may still be rolled back.
  if (position.term == term) {
    const bool holds_less = position < shown_;
    shown_ = std::max(shown_, position);
    return !holds_less;
  }
  return shown_.index == 0;
}

}  // namespace cairnhollow::registered::proxy
