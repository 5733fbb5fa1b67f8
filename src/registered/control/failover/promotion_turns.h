// Spaces the calls that promote, so that the platform takes each of them: it takes so many a second from all
// nodes and turns the rest away. When many groups lose their primaries at once, the most urgent go first.
//
// A bucket of a fifth of the rate, in whole calls and at least one, refilled with the rest of the rate: in
// any second at most the rate is called, and the primaries of a small fleet are replaced without any wait (50
// a second: ten at once, then one each 25 ms). Below two a second the refill is half the rate, since one call
// leaves less or nothing: at most one call in a second, and in the time that the rate allows for one.
#pragma once

#include <compare>
#include <cstdint>
#include <set>

#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::control {

/// `runtime` outlives it; it lives until the process ends.
class PromotionTurns {
 public:
  /// `rate_per_s`: calls that the platform takes a second; 0: any number.
  PromotionTurns(runtime::Runtime& runtime, double rate_per_s);

  /// Returns when a call may be made; of those who wait, the one with the lowest `urgency` goes first, and of
  /// equal ones the one that came first. True: without having waited.
  Awaitable<bool> take(std::uint64_t urgency);
  [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }

 private:
  struct Place {
    std::uint64_t urgency = 0;
    std::uint64_t arrival = 0;
    auto operator<=>(const Place&) const = default;
  };
  void refill();

  runtime::Runtime& runtime_;
  double refill_per_s_;
  double depth_;
  double calls_;  ///< that may be made now
  TimePoint refilled_at_;
  std::set<Place> waiting_;
  std::uint64_t next_arrival_ = 0;
  runtime::Signal taken_;
};

}  // namespace cairnhollow::registered::control
