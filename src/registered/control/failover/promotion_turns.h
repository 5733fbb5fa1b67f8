// Rate limiter for promotion calls, so that the platform, which accepts a fixed number of calls per second
// from all nodes and rejects the rest, accepts each of them. When many groups lose their primaries at once,
// the most urgent go first.
//
// Token bucket. Its depth is a fifth of the rate, rounded down to whole calls and at least one; it is
// refilled with the rest of the rate. No second then has more calls than the rate, and the failovers of a
// small fleet do not wait (at 50 calls a second: ten at once, then one every 25 ms). Below two calls a second
// the refill is half the rate, since one call would leave less or nothing; that keeps to at most one call in
// a second, and in the time that the rate allows for one.
#pragma once

#include <compare>
#include <cstdint>
#include <set>

#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::control {

/// `runtime` is not owned and must outlive this object, which must live until the process exits.
class PromotionTurns {
 public:
  /// `rate_per_s`: calls a second that the platform accepts; 0 means unlimited.
  PromotionTurns(runtime::Runtime& runtime, double rate_per_s);

  /// Waits until a call may be made. The waiter with the lowest `urgency` value goes first, and among equal
  /// ones the first to arrive. Returns true if it did not have to wait.
  Awaitable<bool> acquire(std::uint64_t urgency);
  [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }

 private:
  struct Waiter {
    std::uint64_t urgency = 0;
    std::uint64_t arrival = 0;
    auto operator<=>(const Waiter&) const = default;
  };
  void refill();

  runtime::Runtime& runtime_;
  double refill_per_s_;
  double depth_;
  double tokens_;  ///< calls that may be made now
  TimePoint refilled_at_;
  std::set<Waiter> waiting_;
  std::uint64_t next_arrival_ = 0;
  runtime::Signal acquired_;
};

}  // namespace cairnhollow::registered::control
