// How often and how long one statement is tried: the number of backends, and until when a lease, a link, a
// place at a backend or an answer is waited for. Pure; who carries a statement out asks before each step.
#pragma once

#include "base/types.h"
#include "registered/placement/facts.h"

namespace cairnhollow::registered::placement {

/// Backends that are tried for one statement. Chosen, not measured.
inline constexpr int kMaxAttempts = 4;
/// Attempts of a read that a backend ran and reported as failed: once more elsewhere, since the next failure
/// is most likely the statement's own. Chosen, not measured.
inline constexpr int kMaxFailedReads = 2;
/// Times that one statement is passed on to another proxy after it had waited for a primary. A second primary
/// may fall while it is on its way; one that has waited three times has no time left. Chosen, not measured.
inline constexpr int kMaxReroutes = 2;
/// Pause before the same backend is tried again, and between two looks at a group that can't serve. About the
/// shortest work of a statement (4 to 30 ms on the deployments). Chosen, not measured.
inline constexpr Duration kRetryPause = std::chrono::milliseconds(8);
/// A statement waits for a lease or a primary for this part of its time, then it is refused: either most
/// often comes back that soon. Chosen, not measured by itself: without any wait callers were refused three
/// times within 100 ms after a common restart, whose first leases came within 1 s.
inline constexpr int kRefusalDivisor = 3;
/// A statement waits for a place at a full backend for this part of the time that callers aim at. Against
/// half of it, the whole and a third both served fewer statements in time (docs/WORTH.md); the whole did so
/// most at the highest load (docs/design/shifted_work.md).
inline constexpr int kSlotWaitDivisor = 2;
/// A read leaves a replica that gives no answer after this part of the time that callers aim at, but no
/// sooner than kShortestReadWait. Chosen, not measured.
inline constexpr int kReadWaitDivisor = 2;
/// Also how long a statement that a backend was offered already waits for the next link. Chosen, not
/// measured.
inline constexpr Duration kShortestReadWait = std::chrono::milliseconds(100);

/// One statement's times, and what was done with it so far.
struct StatementProgress {
  TimePoint arrived{};
  TimePoint deadline{};
  Duration target_latency{0};  ///< that callers aim at, from its arrival
  int attempts = 0;            ///< backends tried, the one under way included
  int reroutes = 0;            ///< times that it was passed on after it had waited here
  bool offered = false;        ///< it was sent to a backend that could run it
};

/// Until when a lease or a primary is waited for.
TimePoint refusal_time(const StatementProgress& progress);
/// Whether it may be tried once more, and may wait for somebody who can serve it.
Patience patience_at(const StatementProgress& progress, TimePoint now);
/// Until when a new link to the chosen backend is waited for.
TimePoint link_wait_end(const StatementProgress& progress, TimePoint now);
/// Until when a place at the chosen backend, or a link in use, is waited for: what came through later would
/// be late, and make others late.
TimePoint slot_wait_end(const StatementProgress& progress, TimePoint now);
/// Whether it may leave a backend that gives no answer, where another one is likely to serve it.
bool may_leave_silent_backend(bool needs_primary, const StatementProgress& progress);
/// Until when the answer of a backend that it may leave is waited for; `sent_at`: when it was sent.
TimePoint silent_backend_wait_end(const StatementProgress& progress, TimePoint sent_at);
/// Whether it may be passed on to another proxy after it has waited here: no backend may have seen it.
bool may_be_rerouted(const StatementProgress& progress);

}  // namespace cairnhollow::registered::placement
