// Numbers that tune the control node and are not settings.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace cairnhollow::declared::control {

// Follow server.
/// Held questions are looked at this often, so that renewals share a quorum round.
inline constexpr Duration kRenewalTick = std::chrono::milliseconds(20);
/// A question is held at most this share of the serving lease.
inline constexpr int kHoldLeaseDivisor = 4;
/// A quorum round for followers may take this long, then they are refused.
inline constexpr Duration kFollowBarrierTimeout = std::chrono::milliseconds(400);
/// An update of at least this length, such as a first configuration, is a large one.
inline constexpr std::size_t kLargeUpdateBytes = std::size_t{64} * 1024;
/// Large updates on their way at once hold this many bytes together, one of any length excepted; who asks for
/// more is told to come back. It bounds the memory, and how long the loop writes before it renews leases.
inline constexpr std::size_t kLargeUpdateBytesAtOnce = std::size_t{8} * 1024 * 1024;
/// A follower that has not taken a large update by then is dropped; one that gets nothing of it asks
/// elsewhere long before.
inline constexpr Duration kLargeUpdateLimit = std::chrono::seconds(5);
/// Clock rates of two machines differ by less than one in this many (leases, Gray and Cheriton 1989).
inline constexpr int kClockDriftDivisor = 50;
/// A proxy is listed for this long after its lease has lapsed.
inline constexpr Duration kLapsedFollowerKept = std::chrono::seconds(60);

// News between control nodes.
/// A message is sent at least this often, so that the others know that this node lives.
inline constexpr Duration kNewsInterval = std::chrono::milliseconds(100);
/// A node that refused the Hello is tried again after this time: one of the two must be upgraded first.
inline constexpr Duration kRefusedNewsPause = std::chrono::seconds(5);
/// A control node not heard for this long takes no part in supervising groups.
inline constexpr Duration kPeerSilenceLimit = std::chrono::milliseconds(450);
/// A connection on which no message was acknowledged for this long is closed and opened anew.
inline constexpr Duration kNewsAcknowledgementLimit = std::chrono::seconds(1);
/// A node that can't be reached for this long is talked to no more, unless it is named again.
inline constexpr Duration kUnreachablePeerKept = std::chrono::minutes(10);
/// A connection to another control node is given up on after this time, and tried again after as long.
inline constexpr Duration kNewsConnectTimeout = std::chrono::milliseconds(300);

// Group monitor.
/// How many control nodes probe a group: its supervisor and the ones that would take over.
inline constexpr std::size_t kMonitorsPerGroup = 2;
/// The probes of one member may take this much time of the node's probing each interval: with more than 50
/// members watched, the interval is longer than 100 ms, so that the cost of a node does not grow with the
/// number of databases. A proxy's suspicion still starts a probe at once.
inline constexpr Duration kProbeCost = std::chrono::milliseconds(2);
/// Probes that a primary misses before it counts as silent.
inline constexpr int kProbesMissed = 3;
/// A monitor looks at its observations after each probe and at least this often.
inline constexpr Duration kMonitorTick = std::chrono::milliseconds(100);
/// The monitor's own loop was frozen when a tick comes later than this: what it saw before is too old.
inline constexpr Duration kMonitorStallLimit = std::chrono::milliseconds(250);
/// A control node that lacks a revision for this long after it was applied here supervises no group.
inline constexpr Duration kConfigurationLagLimit = std::chrono::milliseconds(500);
/// Which node supervises which group is looked at this often, and at once when the configuration changes.
inline constexpr Duration kSupervisionTick = std::chrono::milliseconds(100);

/// A group is reported as unreachable when no majority of its members has answered for this long.
inline constexpr Duration kUnreachableAfter = std::chrono::seconds(1);
/// While a primary is suspected, members are probed this often.
inline constexpr Duration kUrgentProbeInterval = std::chrono::milliseconds(25);
/// A suspicion that no failed probe confirms is dropped after this time.
inline constexpr Duration kSuspicionLimit = std::chrono::seconds(1);

// Failover.
/// Once a majority has granted a fence, the others' answers are awaited this long.
inline constexpr Duration kFenceSettleTime = std::chrono::milliseconds(15);
/// Each call of a failover's first attempt ends by then. For each failure in a row it is doubled up to the
/// limit, so that members whose disks or connections are slower than that are waited for, not asked anew for
/// ever.
inline constexpr Duration kFailoverCallTimeout = std::chrono::milliseconds(400);
inline constexpr Duration kFailoverCallTimeoutLimit = std::chrono::milliseconds(3200);
/// Before another attempt, jittered to 1-2 times; doubled for each failure in a row up to the limit.
inline constexpr Duration kFailoverBackoff = std::chrono::milliseconds(100);
inline constexpr Duration kFailoverBackoffLimit = std::chrono::seconds(2);
inline constexpr std::uint32_t kBackoffDoublings = 8;
/// A planned hand-over that the node starts by itself ends by then.
inline constexpr Duration kPlannedLimit = std::chrono::seconds(5);
/// How long the target of a planned hand-over may take to catch up.
inline constexpr Duration kCatchUpLimit = std::chrono::seconds(3);
/// Between two looks at how far it is.
inline constexpr Duration kCatchUpPause = std::chrono::milliseconds(2);

// Configuration.
/// Outcomes of applied changes kept for the coroutine that proposed them.
inline constexpr std::size_t kOutcomesKept = 4096;
/// Times at which revisions were applied here, kept for the in-force report.
inline constexpr std::size_t kRevisionTimesKept = 4096;

// Repair of the consensus group.
/// Voters are looked at this often.
inline constexpr Duration kRepairTick = std::chrono::seconds(1);
/// A voter not heard for this long is replaced by a standby.
inline constexpr Duration kVoterLostAfter = std::chrono::seconds(30);
/// A voter whose node answers under another identity has lost its disk, and won't come back with the old one.
/// The node itself takes its place after this time, in which it could still be started on another data
/// folder.
inline constexpr Duration kVoterWipedAfter = std::chrono::seconds(2);
/// How long a standby may take to catch up.
inline constexpr Duration kRepairLimit = std::chrono::seconds(60);

// Platform.
/// One question for the list of machines ends by then.
inline constexpr Duration kPlatformTimeout = std::chrono::milliseconds(800);
/// The pause between questions is lengthened by up to one part in this many, so that nodes don't ask
/// together.
inline constexpr int kPollJitterDivisor = 4;

// Events.
inline constexpr std::size_t kEventsKept = 2000;

}  // namespace cairnhollow::declared::control
