// Compile-time limits and intervals of the control node that are not settings.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace cairnhollow::declared::control {

// Follow server.
/// Interval at which held follow requests are checked, so that lease renewals share a quorum round.
inline constexpr Duration kRenewalTick = std::chrono::milliseconds(20);
/// A follow request is held for at most the serving lease divided by this.
inline constexpr int kHoldLeaseDivisor = 4;
/// Time limit of a quorum round for followers; after that, the waiting requests are refused.
inline constexpr Duration kFollowBarrierTimeout = std::chrono::milliseconds(400);
/// Updates of at least this size, such as an initial configuration, count as large.
inline constexpr std::size_t kLargeUpdateBytes = std::size_t{64} * 1024;
/// Limit on the total size of the large updates in flight, except that a single update of any size is
/// allowed. Further requesters are told to retry. Bounds the memory and the time for which the loop writes
/// before it renews leases.
inline constexpr std::size_t kMaxLargeUpdateBytesInFlight = std::size_t{8} * 1024 * 1024;
/// Time limit for a follower to receive a large update; it is disconnected after that. A follower that
/// receives none of it tries another node long before.
inline constexpr Duration kLargeUpdateTimeout = std::chrono::seconds(5);
/// The clock rates of two machines differ by less than one part in this many (leases, Gray and Cheriton
/// 1989).
inline constexpr int kClockDriftDivisor = 50;
/// How long a proxy stays listed after its lease expires.
inline constexpr Duration kExpiredFollowerRetention = std::chrono::seconds(60);

// Messages between control nodes.
/// Longest interval between two messages to a peer; the messages also serve as heartbeats.
inline constexpr Duration kPeerMessageInterval = std::chrono::milliseconds(100);
/// Delay before reconnecting to a node that refused the Hello: one of the two must be upgraded first.
inline constexpr Duration kRefusedPeerRetryDelay = std::chrono::seconds(5);
/// A control node that has been silent for this long is not eligible to supervise groups.
inline constexpr Duration kPeerSilenceLimit = std::chrono::milliseconds(450);
/// A connection without acknowledgements for this long is closed and reopened.
inline constexpr Duration kPeerAcknowledgementTimeout = std::chrono::seconds(1);
/// A node that has been unreachable for this long is dropped until it is named again.
inline constexpr Duration kUnreachablePeerRetention = std::chrono::minutes(10);
/// Time limit for connecting to another control node.
inline constexpr Duration kPeerConnectTimeout = std::chrono::milliseconds(300);

// Group monitor.
/// Number of control nodes that probe a group: its supervisor and those next in line.
inline constexpr std::size_t kMonitorsPerGroup = 2;
/// Lower bound of the probe interval per monitored member of the node, so that the cost of a node does not
/// grow with the number of databases. A suspicion reported by a proxy still triggers a probe immediately.
/// With more than 50 members the interval exceeds 100 ms.
inline constexpr Duration kProbeIntervalPerMember = std::chrono::milliseconds(2);
/// Number of probes that a primary must miss before it counts as silent.
inline constexpr int kMissedProbesUntilSilent = 3;
/// Longest interval between two evaluations of a group; each probe result also triggers one.
inline constexpr Duration kMonitorTick = std::chrono::milliseconds(100);
/// A tick later than this means that the loop was stalled; earlier observations are discarded as too old.
inline constexpr Duration kMonitorStallLimit = std::chrono::milliseconds(250);
/// A control node that still lacks a revision this long after this node applied it is not eligible to
/// supervise groups.
inline constexpr Duration kConfigurationLagLimit = std::chrono::milliseconds(500);
/// Longest interval between two assignments of groups to supervisors; a configuration change also triggers
/// one.
inline constexpr Duration kSupervisionTick = std::chrono::milliseconds(100);

/// A group is reported as unreachable after no majority of its members has answered for this long.
inline constexpr Duration kUnreachableAfter = std::chrono::seconds(1);
/// Probe interval while a primary is suspected to have failed.
inline constexpr Duration kUrgentProbeInterval = std::chrono::milliseconds(25);
/// A suspicion expires after this time unless a failed probe confirms it.
inline constexpr Duration kSuspicionTimeout = std::chrono::seconds(1);

// Failover.
/// How long to wait for the remaining fence responses once a majority has granted the fence.
inline constexpr Duration kFenceSettleTime = std::chrono::milliseconds(15);
/// Time limit of each call in the first attempt of a failover. Doubled for each consecutive failure up to the
/// limit, so that members with slow disks or connections can complete a call instead of being asked again
/// forever.
inline constexpr Duration kFailoverCallTimeout = std::chrono::milliseconds(400);
inline constexpr Duration kFailoverCallTimeoutLimit = std::chrono::milliseconds(3200);
/// Base delay before another attempt, multiplied by a random factor from 1 to 2. Doubled for each consecutive
/// failure up to the limit.
inline constexpr Duration kFailoverBackoff = std::chrono::milliseconds(100);
inline constexpr Duration kFailoverBackoffLimit = std::chrono::seconds(2);
inline constexpr std::uint32_t kBackoffDoublings = 8;
/// Time limit of a switchover that the node starts by itself.
inline constexpr Duration kSwitchoverTimeout = std::chrono::seconds(5);
/// Time limit for the target of a planned switchover to catch up.
inline constexpr Duration kCatchUpTimeout = std::chrono::seconds(3);
/// Interval at which the progress of the target is polled.
inline constexpr Duration kCatchUpPollInterval = std::chrono::milliseconds(2);

// Configuration.
/// Number of outcomes of applied changes kept for the coroutines that proposed them.
inline constexpr std::size_t kMaxRetainedOutcomes = 4096;
/// Number of revisions whose application time is kept for the in-force report.
inline constexpr std::size_t kMaxRetainedRevisionTimes = 4096;

// Repair of the consensus group.
/// Interval at which the voters are checked.
inline constexpr Duration kRepairTick = std::chrono::seconds(1);
/// A voter that has been silent for this long is replaced by a standby.
inline constexpr Duration kVoterLostAfter = std::chrono::seconds(30);
/// A voter whose node answers under another identity has lost its disk and cannot return under the old
/// identity. After this time, which allows a restart on another data folder, the node itself takes the place
/// of the voter.
inline constexpr Duration kVoterWipedAfter = std::chrono::seconds(2);
/// Time limit for a standby to catch up and become a voter.
inline constexpr Duration kRepairTimeout = std::chrono::seconds(60);

// Platform.
/// Time limit of one request for the list of machines.
inline constexpr Duration kPlatformTimeout = std::chrono::milliseconds(800);
/// The interval between requests is lengthened by up to one part in this many, so that the nodes do not send
/// them at the same time.
inline constexpr int kPollJitterDivisor = 4;

// Events.
inline constexpr std::size_t kMaxRetainedEvents = 2000;

}  // namespace cairnhollow::declared::control
