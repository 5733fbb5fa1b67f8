// Whether a proxy without a serving lease may expect one soon, from what it has seen of control. Pure
// functions.
#pragma once

#include <chrono>

#include "base/types.h"

namespace cairnhollow::registered::placement {

/// Time after process start, and after the end of the last lease, within which the next lease is expected
/// even if no control node was heard. Afterwards a proxy that hears none is taken to be cut off from control,
/// and its callers are refused at once.
/// After a common loss of power, leases came 0.12 to 0.52 s after the proxies' start.
inline constexpr Duration kFirstLeaseExpectedWithin = std::chrono::milliseconds(700);
inline constexpr Duration kLeaseExpectedWithin = std::chrono::milliseconds(1500);
/// A control node that was heard within this time is taken to be alive: one that holds a report while no
/// leader is known answers within 900 ms, and is then asked again.
inline constexpr Duration kControlAliveWithin = std::chrono::seconds(1);
/// Control nodes that are alive elect a leader within this time of the proxy's start or last lease: the
/// longest election timeout and some split votes. Later, too few of them run, and waiting is hopeless.
inline constexpr Duration kLeaderExpectedWithin = std::chrono::seconds(4);

/// What a proxy has seen of control. Time points that never were are TimePoint{}.
struct LeaseSigns {
  TimePoint started{};      ///< of this process
  TimePoint lease_until{};  ///< end of the last lease
  TimePoint heard_at{};     ///< a control node last accepted a connection, or answered anything
};

/// Whether a lease is expected because the process has just started or the last lease has just expired.
inline bool is_lease_due(const LeaseSigns& signs, TimePoint now) {
  return now < signs.started + kFirstLeaseExpectedWithin || now < signs.lease_until + kLeaseExpectedWithin;
}

/// The same, or because control nodes are alive and elect a leader. For work that may wait that long.
inline bool is_lease_expected(const LeaseSigns& signs, TimePoint now) {
  if (is_lease_due(signs, now)) return true;
  const bool is_alive = signs.heard_at != TimePoint{} && now < signs.heard_at + kControlAliveWithin;
  return is_alive &&
         (now < signs.started + kLeaderExpectedWithin || now < signs.lease_until + kLeaderExpectedWithin);
}

}  // namespace cairnhollow::registered::placement
