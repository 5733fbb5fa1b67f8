// Limits on the attempts and waits of one statement: number of backends tried, and deadlines of the waits for
// a lease, a link, a slot or an answer. Pure functions, to be evaluated before each step.
#pragma once

#include "base/types.h"
#include "registered/placement/facts.h"
#include "registered/placement/rejection_reason.h"
#include "registered/placement/wait_budget.h"

namespace cairnhollow::registered::placement {

/// Maximum number of backends tried for one statement. More are tried only for a statement that no backend
/// was sent and that may wait longer (wait_budget.h): with growing pauses, while its budget lasts.
inline constexpr int kMaxAttempts = 4;
/// Maximum number of attempts of a read that backends run and report as failed. A second failure is most
/// likely caused by the statement itself.
inline constexpr int kMaxFailedReads = 2;
/// Maximum number of times that a statement is forwarded to another proxy after a wait for a primary. Allows
/// for a second failover while it is forwarded; a third wait leaves no time to run it.
inline constexpr int kMaxReroutes = 2;
/// Pause before the same backend is tried again, and between checks of a group that can't serve. About the
/// shortest execution time of a statement.
inline constexpr Duration kRetryPause = std::chrono::milliseconds(8);
/// Maximum pause before a backend without room, or proxies without a lease, are tried again. A dial that a
/// full backend refused is repeated after about as long.
inline constexpr Duration kLongestRetryPause = std::chrono::milliseconds(100);
/// Interval at which a statement that may wait longer checks what it waits for, in addition to the
/// notification of a lease or a new term.
inline constexpr Duration kEventCheckInterval = std::chrono::milliseconds(50);
/// A statement waits for a slot at a full backend for at most the route's target latency divided by this: a
/// longer wait makes other statements late, a shorter one refuses more than necessary
/// (docs/design/shifted_work.md). Routes that allow a longer wait (wait_budget.h) use what is left of it.
inline constexpr int kSlotWaitDivisor = 2;
/// A read leaves a replica that gives no answer after the route's target latency divided by this, but not
/// before kShortestReadWait.
inline constexpr int kReadWaitDivisor = 2;
/// Minimum wait for the answer of an unresponsive replica. Also the maximum wait for the next link of a
/// statement that was already sent to a backend.
inline constexpr Duration kShortestReadWait = std::chrono::milliseconds(100);

/// The times of one statement, and the attempts made so far.
struct StatementProgress {
  TimePoint arrived{};
  TimePoint deadline{};
  Duration target_latency{0};  ///< target latency of the route, from arrival
  int attempts = 0;            ///< number of backends tried, including the current one
  int reroute_count = 0;       ///< times it was forwarded after a wait at a proxy
  bool was_sent = false;       ///< it was already sent to a backend
  Duration waited_before{0};   ///< while its session opened, or at the proxy that forwarded it
  Duration run_time{0};        ///< expected from the end of its waits until the answer

  [[nodiscard]] WaitBudget wait_budget() const {
    return {arrived, deadline, target_latency, waited_before, run_time};
  }
};

/// When the wait for a lease or a primary ends with a refusal.
TimePoint refusal_time(const StatementProgress& progress);
/// Whether another attempt, or a wait for a lease or a primary, is still allowed.
AttemptAllowance attempt_allowance_at(const StatementProgress& progress, TimePoint now);
/// Pause before the next attempt, after attempts that all ended at this proxy.
Duration retry_pause(const StatementProgress& progress);
/// Pause before a statement that waits because of `cause` is placed anew, if nothing notifies it earlier.
Duration wait_pause(const StatementProgress& progress, RejectionReason cause);
/// Pause before all proxies are asked again, after `rounds` rounds in which none accepted the statement.
Duration forwarding_pause(int rounds);
/// Deadline of the wait for a new link to the chosen backend.
TimePoint link_wait_end(const StatementProgress& progress, TimePoint now);
/// Deadline of the wait for a slot, or for a link in use, at the chosen backend. A statement admitted later
/// would miss its target latency and delay others.
TimePoint slot_wait_end(const StatementProgress& progress, TimePoint now);
/// Whether the statement may abandon an unresponsive backend if another one is likely to serve it.
bool may_abandon_backend(bool needs_primary, const StatementProgress& progress);
/// Deadline of the wait for an answer of a backend that may be abandoned. `sent_at`: when the statement was
/// sent.
TimePoint answer_wait_end(const StatementProgress& progress, TimePoint sent_at);
/// Whether the statement may be forwarded after a wait here. Requires that no backend can have received it.
bool may_reroute(const StatementProgress& progress);

}  // namespace cairnhollow::registered::placement
