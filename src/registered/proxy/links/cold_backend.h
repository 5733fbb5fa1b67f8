// Defines which backends count as cold, and the rate limit on statements to them.
//
// A cold backend is slow because it was started recently or has been idle. All proxies together send it at
// most its group's cold rate (limits/limit.h), and each statement to it takes a token.
#pragma once

#include <optional>

#include "registered/limits/limit.h"
#include "registered/tenancy/key_confirmation.h"

namespace cairnhollow::registered::proxy {

/// Window over which the operator's bound counts statements.
inline constexpr Duration kColdWindow = std::chrono::seconds(1);
/// Time for which a zone's backends count as cold after its evacuation ends: they may have become cold while
/// unused, and report that with their next heartbeat. Covers two heartbeats (one each 1.2 s) and the
/// propagation through the log.
inline constexpr Duration kColdAfterEvacuation = std::chrono::seconds(3);
/// Longest time until a restarted backend that can be dialled is registered, if it can register at all: it
/// calls a node at once, and another one if there is no answer within a second.
inline constexpr Duration kRestartRegistrationTime = std::chrono::seconds(1);
/// Cost in milliseconds added to a cold backend: it is chosen when the warm ones are slower by this. Three
/// times the duration of the longest expected reads, at which a warm backend's queue is as slow as a cold
/// one's first answers.
inline constexpr double kColdCostMs = 66.0;

inline limits::LimitKey limited(const BackendName& backend) {
  return {limits::LimitKind::kColdBackend, backend.value};
}

/// `rate_per_s`: cold rate of the group, in statements a second; must be positive.
inline limits::Limit cold_limit(const BackendName& backend, double rate_per_s,
                                const limits::LimitWindow& window) {
  return {limited(backend), rate_per_s, 0, window};
}

/// Tracks whether a backend was unreachable, so that it may be another incarnation than the registered one.
class RestartDetector {
 public:
  void mark_unreachable() {
    was_unreachable_ = true;
    reached_at_.reset();
  }
  void record_reached(TimePoint now) {
    if (was_unreachable_ && !reached_at_) reached_at_ = now;
  }
  /// Whether it was unreachable, and control has not confirmed this proxy's fleet snapshot in answer to a
  /// query sent at least kRestartRegistrationTime after the backend was reachable again.
  [[nodiscard]] bool may_have_restarted(const tenancy::KeyConfirmation& confirmation) const {
    if (!was_unreachable_) return false;
    return !reached_at_ || !confirmation.is_confirmed_since(*reached_at_ + kRestartRegistrationTime);
  }

 private:
  bool was_unreachable_ = false;
  std::optional<TimePoint> reached_at_;
};

}  // namespace cairnhollow::registered::proxy
