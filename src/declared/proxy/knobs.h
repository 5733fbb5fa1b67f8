// Numbers that tune the proxy and that no deployment has needed to change yet.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace cairnhollow::declared::proxy {

// Limits on what a caller may send.
inline constexpr std::size_t kMaximumBodyLength = std::size_t{512} * 1024;  ///< bytes of a request's body
inline constexpr std::size_t kMaximumTextLength = std::size_t{256} * 1024;  ///< bytes of a statement's text
inline constexpr std::size_t kMaximumDatabaseLength = 128;
inline constexpr std::size_t kMaximumPartitionKeyLength = 512;
inline constexpr std::size_t kMaximumSessionLength = 128;
inline constexpr std::size_t kMaximumLabels = 16;
inline constexpr std::size_t kMaximumLabelLength = 128;
inline constexpr std::uint64_t kMaximumDeadlineMilliseconds = 60000;
inline constexpr std::size_t kMaximumTransactionIdLength = 256;
/// Numbers must survive JSON readers that hold them as doubles (RFC 8259, section 6).
inline constexpr std::uint64_t kMaximumRequestNumber = (std::uint64_t{1} << 53U) - 1;

/// An answer leaves this long (at most a quarter of the time given) before the caller's deadline, so that
/// it can still arrive.
inline constexpr Duration kAnswerMargin = std::chrono::milliseconds(20);
/// A write waits this long for a new primary before it is refused.
inline constexpr Duration kPrimaryWaitLimit = std::chrono::milliseconds(1500);
/// Pause between two attempts of one write at the same primary, doubled each time up to the limit.
inline constexpr Duration kPrimaryRetryPause = std::chrono::milliseconds(25);
inline constexpr Duration kPrimaryRetryPauseLimit = std::chrono::milliseconds(400);
/// A backend that does not accept a connection within this time counts as unreachable.
inline constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
/// A read that one backend has not answered within this time is tried elsewhere.
inline constexpr Duration kReadAttemptLimit = std::chrono::milliseconds(1000);
/// A read that another backend may serve too is ended when its own has owed an answer to a probe, and
/// answered nobody, for this long. Looked at this often, while any such read is under way.
inline constexpr Duration kReadSilenceLimit = std::chrono::milliseconds(100);
inline constexpr Duration kReadWatchInterval = std::chrono::milliseconds(25);
/// A read is chosen for anew so often at most, when the primary that it waited for was replaced.
inline constexpr int kReadChoices = 3;
/// A read is held for a replica for at most this part (one in so many) of the time that it is given.
inline constexpr int kHoldDeadlineShare = 4;
/// A write that its primary has not answered within this time is resolved, not waited for.
inline constexpr Duration kWriteAttemptLimit = std::chrono::milliseconds(1500);
/// A primary that was replaced has this long to answer what it was sent; then its attempts are resolved. One
/// that lives and was fenced answers at once that it is primary no more, which is cheaper to go on from.
inline constexpr Duration kReplacedPrimaryGrace = std::chrono::milliseconds(50);
/// An unanswered write is resolved for this long, waiting for a new primary, before it is `unknown`.
inline constexpr Duration kResolveLimit = std::chrono::milliseconds(3000);
/// One question to the ledger.
inline constexpr Duration kResolveAttemptLimit = std::chrono::milliseconds(500);
/// Connections to one backend on which outcomes are asked for.
inline constexpr std::size_t kResolveConnections = 8;
/// Between two questions to the ledger when no news of a primary comes earlier.
inline constexpr Duration kResolvePause = std::chrono::milliseconds(50);
/// An abandoned transaction's rollback is waited for this long; then its connection is closed.
inline constexpr Duration kRollbackLimit = std::chrono::milliseconds(1000);
/// A statement that ran out of time sooner than this says nothing against the backend.
inline constexpr Duration kFailureEvidenceTime = std::chrono::milliseconds(250);
/// A backend that does not tell its positions within this time is asked again in the next round.
inline constexpr Duration kFreshnessProbeLimit = std::chrono::milliseconds(1000);
/// A proxy before at most this many groups probes them all, so that its first read of a group finds a replica
/// too. Before more it probes the groups that it serves only: with 1,500 proxies and 3,300 groups all would
/// be 59 million probes a second.
inline constexpr std::size_t kAlwaysProbedGroups = 24;
/// A group counts as served by this proxy for this long after its last read.
inline constexpr Duration kGroupActivityTime = std::chrono::seconds(30);
/// What one freshness probe costs the proxy of a core's time (cairnhollow-bench, freshness_probes, and a
/// proxy's process: docs/CAPACITY.md), and the probes' share of a core, one part in so many:
/// 166 probes a second. Up to 13 groups of three are probed each interval; with more the period stretches.
inline constexpr Duration kFreshnessProbeCost = std::chrono::microseconds(60);
inline constexpr int kFreshnessProbeShare = 100;
/// Among groups read within about this time none goes before the other because it was read later.
inline constexpr Duration kReadOfLate = std::chrono::seconds(1);
/// A member whose position was never learned is as urgent as one that was learned this long ago.
inline constexpr Duration kUnknownPositionAge = std::chrono::minutes(1);
/// Of a forwarded write's or commit's time this much (at most a quarter) is kept back, so that its outcome
/// can be asked for elsewhere when no answer comes.
inline constexpr Duration kHopReserve = std::chrono::milliseconds(1000);
/// Connections to one other proxy that are in use at once, transactions included.
inline constexpr std::size_t kHopConnections = 64;
/// Connections to one other proxy that are kept while idle, and for how long.
inline constexpr std::size_t kHopIdleConnections = 4;
inline constexpr Duration kHopIdleTime = std::chrono::seconds(3);
inline constexpr Duration kHopUpkeepInterval = std::chrono::seconds(1);
/// A proxy that has owed an answer for this long is asked for its health, and is silent when it has not told
/// it after the limit. Looked at this often, while any answer is owed.
inline constexpr Duration kHopSuspectTime = std::chrono::milliseconds(300);
inline constexpr Duration kHopHealthLimit = std::chrono::milliseconds(500);
inline constexpr Duration kHopWatchInterval = std::chrono::milliseconds(100);
/// A proxy that could not be reached or did not answer is tried last for this long, doubled each time up to
/// the limit.
inline constexpr Duration kHopAvoidTime = std::chrono::milliseconds(500);
inline constexpr Duration kHopAvoidTimeLimit = std::chrono::seconds(8);
/// Answers to draining callers are given this long to leave before the last connections are closed.
inline constexpr Duration kDrainLinger = std::chrono::milliseconds(500);
/// How often a draining proxy looks whether anything is still in flight.
inline constexpr Duration kDrainPollInterval = std::chrono::milliseconds(20);
/// Suggested pause before a caller comes back, by what it waits for.
inline constexpr Duration kRetryAfterFailover = std::chrono::milliseconds(250);
inline constexpr Duration kRetryAfterOverload = std::chrono::milliseconds(50);
inline constexpr Duration kRetryAfterElsewhere = std::chrono::milliseconds(0);
inline constexpr Duration kRetryAfterNewRequest = std::chrono::milliseconds(0);  ///< under a new number
inline constexpr Duration kRetryAfterOperator = std::chrono::seconds(1);         ///< a change may mend it

}  // namespace cairnhollow::declared::proxy
