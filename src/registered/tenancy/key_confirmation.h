// Until when a key may be believed that stood in the document when control confirmed it last.
//
// A key that is taken away must not run anything that was sent later than the bound after the removal was
// acknowledged, on any machine, in reach of control or not. Let c be the moment, on this process's clock, at
// which it asked the question that control answered after a quorum round: a removal acknowledged before c is
// known here. A statement that is sent to a backend at t was sent by its caller no later than t. It runs only
// if t - c < bound - margin. Were its key's removal unknown here, the removal was acknowledged after c, and
// the statement was sent less than the bound after it. The check is made right before sending, by the process
// that sends, with its own clock: one that was frozen checks after it woke, and what another process
// confirmed counts for nothing. tests/tenancy/key_revocation_model_test.cpp searches the orders of events.
#pragma once

#include <optional>

#include "base/types.h"

namespace cairnhollow::registered::tenancy {

/// Kept back from the bound, in parts of it: for clocks that do not run alike, and for the time between the
/// check and the write to the connection. Chosen: crystals differ by 0.005%, four hundred times less.
inline constexpr int kKeyBoundMarginDivisor = 50;

class KeyConfirmation {
 public:
  /// `bound`: empty where machines out of touch are bound by nothing.
  explicit KeyConfirmation(std::optional<Duration> bound) : bound_(bound) {}

  /// Control proved the document newest, to a question asked at `asked_at`.
  void record(TimePoint asked_at) {
    if (!confirmed_at_ || *confirmed_at_ < asked_at) confirmed_at_ = asked_at;
  }
  /// Whether a statement with a key of the document may be sent to a backend at `now`.
  [[nodiscard]] bool allows(TimePoint now) const {
    if (!bound_) return true;
    return confirmed_at_ && now - *confirmed_at_ < *bound_ - *bound_ / kKeyBoundMarginDivisor;
  }
  /// Whether control confirmed the document to a question asked at `since` or later: whoever is not in it now
  /// was not in force then.
  [[nodiscard]] bool is_confirmed_since(TimePoint since) const {
    return confirmed_at_ && *confirmed_at_ >= since;
  }
  /// Empty: never.
  [[nodiscard]] std::optional<TimePoint> confirmed_at() const { return confirmed_at_; }

 private:
  std::optional<Duration> bound_;
  std::optional<TimePoint> confirmed_at_;
};

}  // namespace cairnhollow::registered::tenancy
