// Checkers with global knowledge: each gives the violations of one promise. Those of callers' histories alone
// are in standins/callers/checkers.
#pragma once

#include <vector>

#include "simulation/evidence.h"

namespace cairnhollow::simulation {

/// New work may reach a leaving backend for this long: a serving lease, and what is on its way.
inline constexpr Duration kLeavingLimit = std::chrono::seconds(3);
/// Beyond the lease: the way of the answers, and clocks that differ by up to 2%.
inline constexpr Duration kInForceMargin = std::chrono::milliseconds(100);
/// Service is whole again this long after the last fault healed.
inline constexpr Duration kRecoveryLimit = std::chrono::seconds(5);

/// "logs_agree": members of a group hold the same committed entries.
std::vector<Violation> check_logs_agree(const std::vector<GroupLog>& logs);

/// "replaced_primary": an acknowledged write is in its group's log; one that began after a new primary had
/// been seen is there under that primary's term or a later one.
std::vector<Violation> check_replaced_primaries(const History& history, const std::vector<GroupLog>& logs,
                                                const std::vector<PrimaryChange>& primary_changes);

/// "not_run_ran": the logs hold no effect of a request that was said not to have run.
std::vector<Violation> check_not_run(const History& history, const std::vector<GroupLog>& logs);

/// "ran_twice": no request and no value took effect more than once, in all groups together.
std::vector<Violation> check_at_most_once(const std::vector<GroupLog>& logs);

/// "mixed_transactions": every write command holds the values of its own request only.
std::vector<Violation> check_transaction_entries(const std::vector<GroupLog>& logs);

/// "leaving_backend": no request that began later than kLeavingLimit was served by a leaving backend.
std::vector<Violation> check_leaving_backends(const History& history,
                                              const std::vector<LeavingBackend>& leaving);

/// "leaving_work": no proxy sent new work to a backend later than kLeavingLimit after it was told to leave,
/// whenever the caller's request began.
std::vector<Violation> check_work_of_leaving(const std::vector<SentWork>& work,
                                             const std::vector<LeavingBackend>& leaving);

/// "planned_stop": no request was left without a definite answer; for runs whose only faults are planned
/// stops.
std::vector<Violation> check_planned_stops(const History& history);

/// "changes": at most one accepted change for a version of an object, revisions are distinct, and each resend
/// got the first answer again.
std::vector<Violation> check_changes(const ChangeHistory& changes);

/// "in_force": a proxy that serves has every change that was accepted longer ago than the lease.
std::vector<Violation> check_in_force(const ChangeHistory& changes,
                                      const std::vector<ProxyObservation>& proxies, Duration lease);

/// "reverted": what a proxy serves by never goes back to an earlier revision.
std::vector<Violation> check_never_reverted(const std::vector<ProxyObservation>& proxies);

/// "liveness": every request that began later than kRecoveryLimit after the last heal was served.
std::vector<Violation> check_liveness(const History& history, TimePoint healed_at);

/// At least this share of the capacity is used for statements that are answered.
inline constexpr double kLeastGoodput = 0.8;
/// An overload is at least this many times the capacity.
inline constexpr double kLeastOffered = 3;
/// The p99 of latencies after an overload is at most this many times the one before it.
inline constexpr std::int64_t kSlowestReturn = 2;

/// "overload": the capacity was used; urgent writes were served in time and none was refused; kReturnLimit
/// after it nothing is refused and latencies are ordinary.
std::vector<Violation> check_overload(const History& history, const OverloadWindow& window);

/// All of the above, and all of the callers' checkers.
std::vector<Violation> check_evidence(const Evidence& evidence);

}  // namespace cairnhollow::simulation
