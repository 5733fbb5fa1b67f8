// When a backend is used as a cold one, and how much it may be sent then.
//
// A cold backend is slow since it was started a moment ago, or since nothing was sent to it for a while. All
// proxies together send it no more than its group's cold rate (limits/limit.h), and each statement to it
// takes a token.
#pragma once

#include <optional>

#include "registered/limits/limit.h"
#include "registered/tenancy/key_confirmation.h"

namespace cairnhollow::registered::proxy {

/// What the operator bounds: statements within this time.
inline constexpr Duration kColdWindow = std::chrono::seconds(1);
/// Backends of a zone are used as cold ones for this long after its evacuation ended: they may have turned
/// cold while nothing was sent to them, and tell it with their next heartbeat (each 1.2 s on the
/// deployments). Two heartbeats, and the way through the log.
inline constexpr Duration kColdAfterEvacuation = std::chrono::seconds(3);
/// A backend that is started again is registered this long after it can be dialled, if it can register at
/// all: it calls at once, and another node when it has no answer within a second.
inline constexpr Duration kRebornNews = std::chrono::seconds(1);
/// A cold backend is chosen when the warm ones are slower by this. Chosen: three times the work of the
/// longest reads on the deployments (22 ms), at which a warm one's queue is as bad as a cold one's first
/// answers.
inline constexpr double kColdCostMs = 66.0;

inline limits::LimitKey limited(const BackendName& backend) {
  return {limits::LimitKind::kColdBackend, backend.value};
}

/// `rate_per_s`: of its group, above 0.
inline limits::Limit cold_limit(const BackendName& backend, double rate_per_s,
                                const limits::LimitWindow& window) {
  return {limited(backend), rate_per_s, 0, window};
}

/// What this proxy saw of a backend that may make it another incarnation than the one it knows.
class RebirthWatch {
 public:
  void mark_unreachable() {
    was_gone_ = true;
    reached_at_.reset();
  }
  void record_reached(TimePoint now) {
    if (was_gone_ && !reached_at_) reached_at_ = now;
  }
  /// Whether it was gone, and control has not confirmed this proxy's copy to a question asked kRebornNews
  /// after it was there again.
  [[nodiscard]] bool may_be_reborn(const tenancy::KeyConfirmation& confirmation) const {
    if (!was_gone_) return false;
    return !reached_at_ || !confirmation.is_confirmed_since(*reached_at_ + kRebornNews);
  }

 private:
  bool was_gone_ = false;
  std::optional<TimePoint> reached_at_;
};

}  // namespace cairnhollow::registered::proxy
