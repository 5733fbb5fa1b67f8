// Limits how long API keys remain valid without confirmation from control.
//
// Guarantee: no machine, partitioned from control or not, runs a statement with a removed key if its caller
// sent it later than `bound` after the removal was acknowledged. Let c be the time, on this process's clock,
// at which it sent the request that control answered after a quorum round: a removal acknowledged before c is
// known here. A statement is sent to a backend at a time t, not before its caller sent it, and only if t - c
// < bound - margin. If the removal is not known here, it was acknowledged after c, so the caller sent the
// statement less than `bound` after it. The sending process checks right before it sends, by its own clock: a
// frozen process checks after it resumes, and confirmations of other processes don't count.
// tests/registered/tenancy/key_revocation_model_test.cpp searches all orders of events.
#pragma once

#include <optional>

#include "base/types.h"

namespace cairnhollow::registered::tenancy {

/// The safety margin is this fraction (1/N) of the bound. It covers clock rate differences (quartz clocks
/// differ by about 0.005%) and the time between the check and the write to the connection.
inline constexpr int kKeyBoundMarginDivisor = 50;

class KeyConfirmation {
 public:
  /// `bound`: std::nullopt if keys remain valid without confirmation.
  explicit KeyConfirmation(std::optional<Duration> bound) : bound_(bound) {}

  /// Records that control confirmed the document as the newest, in answer to a request sent at `asked_at`.
  void record(TimePoint asked_at) {
    if (!confirmed_at_ || *confirmed_at_ < asked_at) confirmed_at_ = asked_at;
  }
  /// Returns whether a statement with a key of the document may be sent to a backend at `now`.
  [[nodiscard]] bool allows(TimePoint now) const {
    if (!bound_) return true;
    return confirmed_at_ && now - *confirmed_at_ < *bound_ - *bound_ / kKeyBoundMarginDivisor;
  }
  /// Returns whether control confirmed the document in answer to a request sent at `since` or later: a key
  /// that is not in the document now was not valid at `since`.
  [[nodiscard]] bool is_confirmed_since(TimePoint since) const {
    return confirmed_at_ && *confirmed_at_ >= since;
  }
  /// Returns when the newest confirmed request was sent, or std::nullopt if there was no confirmation.
  [[nodiscard]] std::optional<TimePoint> confirmed_at() const { return confirmed_at_; }

 private:
  std::optional<Duration> bound_;
  std::optional<TimePoint> confirmed_at_;
};

}  // namespace cairnhollow::registered::tenancy
