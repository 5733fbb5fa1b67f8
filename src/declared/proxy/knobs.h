// Tuning constants of the proxy that are not configurable.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace cairnhollow::declared::proxy {

// Limits on caller input.
inline constexpr std::size_t kMaximumBodyLength = std::size_t{512} * 1024;  ///< bytes of a request body
inline constexpr std::size_t kMaximumTextLength = std::size_t{256} * 1024;  ///< bytes of a statement's text
inline constexpr std::size_t kMaximumDatabaseLength = 128;
inline constexpr std::size_t kMaximumPartitionKeyLength = 512;
inline constexpr std::size_t kMaximumSessionLength = 128;
inline constexpr std::size_t kMaximumLabels = 16;
inline constexpr std::size_t kMaximumLabelLength = 128;
inline constexpr std::uint64_t kMaximumDeadlineMilliseconds = 60000;
inline constexpr std::size_t kMaximumTransactionIdLength = 256;
/// Numbers must survive JSON readers that store them as doubles (RFC 8259, section 6).
inline constexpr std::uint64_t kMaximumRequestNumber = (std::uint64_t{1} << 53U) - 1;

/// An answer is sent this long (at most a quarter of the time limit) before the caller's deadline, so that it
/// can arrive in time.
inline constexpr Duration kAnswerMargin = std::chrono::milliseconds(20);
/// A write waits at most this long for a new primary before it is refused.
inline constexpr Duration kPrimaryWaitLimit = std::chrono::milliseconds(1500);
/// Pause between two attempts of one write at the same primary; doubled each time up to the limit.
inline constexpr Duration kPrimaryRetryPause = std::chrono::milliseconds(25);
inline constexpr Duration kPrimaryRetryPauseLimit = std::chrono::milliseconds(400);
/// A backend that does not accept a connection within this time is treated as unreachable.
inline constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
/// A read that a backend has not answered within this time is retried at another backend.
inline constexpr Duration kReadAttemptLimit = std::chrono::milliseconds(1000);
/// A read that another backend could also serve is cancelled when its backend has had a probe unanswered, and
/// has answered no other call, for this long. Checked at this interval while any such read is in flight.
inline constexpr Duration kReadSilenceLimit = std::chrono::milliseconds(100);
inline constexpr Duration kReadWatchInterval = std::chrono::milliseconds(25);
/// Maximum number of times that candidates are selected for one read. They are selected again if the primary
/// was replaced while the read was tried.
inline constexpr int kMaxReadChoices = 3;
/// A read is held for a replica for at most one part in this many of its time limit.
inline constexpr int kHoldDeadlineDivisor = 4;
/// A write that its primary has not answered within this time is resolved instead of awaited.
inline constexpr Duration kWriteAttemptLimit = std::chrono::milliseconds(1500);
/// Time that a replaced primary has to answer statements already sent to it, before they are resolved. A
/// running primary that was fenced answers at once that it is no longer primary, which is cheaper than
/// resolving.
inline constexpr Duration kReplacedPrimaryGrace = std::chrono::milliseconds(50);
/// An unanswered write is resolved for at most this long, including the wait for a new primary, before its
/// outcome is reported as `unknown`.
inline constexpr Duration kResolveLimit = std::chrono::milliseconds(3000);
/// Time limit for one ledger query.
inline constexpr Duration kResolveAttemptLimit = std::chrono::milliseconds(500);
/// Maximum number of connections to one backend for ledger queries.
inline constexpr std::size_t kResolveConnections = 8;
/// Pause between two ledger queries unless a change of primary is learned earlier.
inline constexpr Duration kResolvePause = std::chrono::milliseconds(50);
/// Time limit for rolling back an abandoned transaction; then its connection is closed.
inline constexpr Duration kRollbackLimit = std::chrono::milliseconds(1000);
/// A statement that ran out of time sooner than this is not counted as a failure of the backend.
inline constexpr Duration kFailureEvidenceTime = std::chrono::milliseconds(250);
/// A backend that does not report its positions within this time is probed again in the next round.
inline constexpr Duration kFreshnessProbeLimit = std::chrono::milliseconds(1000);
/// With at most this many groups a proxy probes all of them, so that its first read of a group can already
/// use a replica. With more groups it probes only those it serves, because the probes of all proxies would
/// grow with the product of proxies and groups.
/// 1,500 proxies that each probed 3,300 groups would send 59 million probes a second.
inline constexpr std::size_t kAlwaysProbedGroups = 24;
/// A group counts as served by this proxy for this long after its last read.
inline constexpr Duration kGroupActivityTime = std::chrono::seconds(30);
/// CPU time that one freshness probe costs the proxy, and the probes' share of one core (one part in this
/// many). Together they limit the rate of probes; with more members than fit in one interval the period gets
/// longer.
/// This allows 166 probes a second, enough for 13 groups of three members in each interval.
inline constexpr Duration kFreshnessProbeCost = std::chrono::microseconds(60);
inline constexpr int kFreshnessProbeCoreDivisor = 100;
/// Added to the time since a group's last read, so that groups read within about this time have the same
/// priority.
inline constexpr Duration kRecentReadTime = std::chrono::seconds(1);
/// A member with an unknown position is as urgent as one whose position was learned this long ago.
inline constexpr Duration kUnknownPositionAge = std::chrono::minutes(1);
/// Part of a forwarded write's or commit's time limit (at most a quarter) that is reserved for querying the
/// outcome through another proxy if no answer arrives.
inline constexpr Duration kHopReserve = std::chrono::milliseconds(1000);
/// Maximum number of connections in use to one other proxy, transactions included.
inline constexpr std::size_t kHopConnections = 64;
/// Maximum number of idle connections kept to one other proxy, how long they are kept, and how often this is
/// checked.
inline constexpr std::size_t kHopIdleConnections = 4;
inline constexpr Duration kHopIdleTime = std::chrono::seconds(3);
inline constexpr Duration kHopUpkeepInterval = std::chrono::seconds(1);
/// A proxy with an answer outstanding for this long is sent a health check, and is considered unresponsive if
/// it does not answer within the limit. Checked at this interval while any answer is outstanding.
inline constexpr Duration kHopSuspectTime = std::chrono::milliseconds(300);
inline constexpr Duration kHopHealthLimit = std::chrono::milliseconds(500);
inline constexpr Duration kHopWatchInterval = std::chrono::milliseconds(100);
/// A proxy that was unreachable or did not answer is tried last for this long; doubled each time up to the
/// limit.
inline constexpr Duration kHopAvoidTime = std::chrono::milliseconds(500);
inline constexpr Duration kHopAvoidTimeLimit = std::chrono::seconds(8);
/// Time for answers to reach their callers while draining, before the last connections are closed.
inline constexpr Duration kDrainLinger = std::chrono::milliseconds(500);
/// How often a draining proxy checks for work in flight.
inline constexpr Duration kDrainPollInterval = std::chrono::milliseconds(20);
/// Suggested pause before a caller retries, by what it waits for.
inline constexpr Duration kRetryAfterFailover = std::chrono::milliseconds(250);
inline constexpr Duration kRetryAfterOverload = std::chrono::milliseconds(50);
inline constexpr Duration kRetryAfterElsewhere = std::chrono::milliseconds(0);
inline constexpr Duration kRetryAfterNewRequest = std::chrono::milliseconds(0);  ///< under a new number
inline constexpr Duration kRetryAfterOperator =
    std::chrono::seconds(1);  ///< an operator may have to intervene

}  // namespace cairnhollow::declared::proxy
