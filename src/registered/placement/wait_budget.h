// Until when a statement, or a new session, may wait before it runs: for a lease, a primary, a slot or a
// link. All waits on its way share one budget, which follows from what its caller still gains. Pure
// functions.
#pragma once

#include <chrono>

#include "base/types.h"

namespace cairnhollow::registered::placement {

/// A statement waits for a lease or a primary for at most its total time divided by this, and is then
/// refused, unless its route's target latency allows a longer wait. Most leases and primaries return within
/// that time; refusing at once would make callers retry in vain.
/// Without a wait, callers were refused three times within 100 ms after a common restart, whose first
/// leases came within 1 s.
inline constexpr int kRefusalDivisor = 3;
/// After its wait a statement has this many times the time for its run until its deadline. One that is cut
/// off there has cost a backend its work, and its missing answer counts against the backend.
inline constexpr int kDeadlineRunTimes = 2;
/// Time allowed for opening a link and setting up the session on it, in addition to the run: two handshakes
/// with a backend in another region.
inline constexpr Duration kLinkOpeningTime = std::chrono::milliseconds(60);
/// A new session waits for a serving lease for at most this time where the routes are known: its statements
/// then wait as their route allows.
inline constexpr Duration kSessionWait = std::chrono::milliseconds(700);
/// Callers close the connection themselves if their session is not accepted within this time of their first
/// line. Fixed by the protocol that callers speak.
inline constexpr Duration kSessionOpenLimit = std::chrono::seconds(2);
/// Time before kSessionOpenLimit at which a waiting session is answered: the way to a caller in another
/// region, and its first line's way here, under load.
inline constexpr Duration kSessionOpenMargin = std::chrono::milliseconds(250);

/// What bounds the waits of one statement.
struct WaitBudget {
  TimePoint arrived{};         ///< at this proxy
  TimePoint deadline{};        ///< end of the route's timeout
  Duration target_latency{0};  ///< of the route, counted from when the caller asked
  Duration waited_before{0};   ///< spent before `arrived`: while its session opened, or at another proxy
  Duration run_time{0};        ///< needed after the wait, until the answer
};

/// End of the wait by the share of the timeout that every route allows.
TimePoint shared_wait_end(const WaitBudget& budget);
/// The last moment at which the statement can still begin to run and be answered within its target latency,
/// and with time to spare within its timeout.
TimePoint useful_wait_end(const WaitBudget& budget);
/// Whether the route's target latency allows a longer wait than the share of the timeout does.
bool allows_longer_wait(const WaitBudget& budget);
/// When the wait for a lease or a primary ends with a refusal.
TimePoint wait_end(const WaitBudget& budget);

/// When a session that arrived at `arrived` stops waiting for a serving lease. `knows_document`: the proxy
/// knows the routes, so that the session can be let in and its first statement go on waiting.
TimePoint session_wait_end(TimePoint arrived, bool knows_document);

}  // namespace cairnhollow::registered::placement
