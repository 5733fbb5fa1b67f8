// Limits and intervals of the registered fleet's control that operators do not set.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "base/types.h"
#include "registered/registry/member_lease.h"

namespace cairnhollow::registered::control {

/// Longest wait for a command to be committed, or for a quorum round, on behalf of a caller.
inline constexpr Duration kCommitTimeout = std::chrono::milliseconds(800);
/// An order of an operator that found no leader is given again after the pause, for as long as the limit: an
/// election takes 0.07 to 0.3 s, and is begun 0.4 s after the leader was last heard.
inline constexpr Duration kOrderRetryPause = std::chrono::milliseconds(30);
inline constexpr Duration kOrderPatience = std::chrono::milliseconds(1800);
/// Groups whose primaries are moved out of evacuated zones at once: each makes every proxy close and open its
/// statements there, and takes one promotion. Groups that are ready within the gathering go by urgency.
inline constexpr std::size_t kMostHandOvers = 3;
inline constexpr Duration kHandOverGathering = std::chrono::milliseconds(20);
/// Commands that may be gathered go to the log at most once in this time, each time with at most so many.
inline constexpr Duration kGathering = std::chrono::milliseconds(20);
inline constexpr std::size_t kMostGathered = 512;
/// Lives of backends that are over and register all the same, remembered so that each is logged once: more
/// than start in an hour where 500 machines are replaced a day. Beyond it they are logged anew.
inline constexpr std::size_t kMostToldOutdated = 1024;
/// The proxies that backends are sent to for saying the same again are looked up at most this often.
inline constexpr Duration kTakersInterval = std::chrono::milliseconds(200);
/// A proxy's question is kept so long while no leader is known, and answered at once when one is: within the
/// time for which proxies wait for a first answer (0.9 s), and longer than an election takes (0.07 to 0.3 s).
inline constexpr Duration kLeaderPatience = std::chrono::milliseconds(600);
/// How often the consensus group is looked at meanwhile.
inline constexpr Duration kLeaderLook = std::chrono::milliseconds(5);
/// Longest wait for a quorum round behind a lease.
inline constexpr Duration kLeaseBarrierTimeout = std::chrono::milliseconds(500);
/// How often a control node tells the leader that it lives.
inline constexpr Duration kPresenceInterval = std::chrono::milliseconds(400);
inline constexpr Duration kLeaderCallTimeout = std::chrono::milliseconds(700);
/// A control node not heard for this long is not alive.
inline constexpr Duration kPresenceLapse = std::chrono::milliseconds(1300);
/// A voter not heard for this long is replaced where another node stands by.
inline constexpr Duration kVoterLostAfter = std::chrono::milliseconds(2500);
/// How long after its start a node waits for the consensus group to have all its voters.
inline constexpr Duration kFormationPatience = std::chrono::seconds(6);
inline constexpr Duration kVoterTick = std::chrono::milliseconds(250);
inline constexpr Duration kVoterChangeLimit = std::chrono::seconds(10);
/// Changes are gathered for so long for each follower before they are pushed, at most for the limit; a group
/// that closed or opened waits at most for the urgent limit.
inline constexpr Duration kPushGathering = std::chrono::milliseconds(1);
inline constexpr Duration kPushGatheringLimit = std::chrono::milliseconds(300);
inline constexpr Duration kUrgentGathering = std::chrono::microseconds(200);
inline constexpr Duration kUrgentGatheringLimit = std::chrono::milliseconds(100);
/// Deltas that are on their way at once, in bytes, so that a restart of all proxies does not fill the memory
/// of the leader; small ones are sent all the same. Who waits for room is looked at again after the tick.
inline constexpr std::size_t kMostBytesOnTheirWay = std::size_t{12} << 20;
inline constexpr std::size_t kSmallDelta = std::size_t{8} << 10;
inline constexpr Duration kRoomTick = std::chrono::milliseconds(200);
/// Proxies ask for leases no closer together than this, as far as their leases allow.
inline constexpr Duration kReportSpacing = std::chrono::milliseconds(4);
/// Proxies' leases are looked at this often. One whose lease ran out this long ago serves no group until it
/// is back; it is forgotten once it can't serve by leases of the groups' members any more, either.
inline constexpr Duration kLapsedTick = std::chrono::milliseconds(400);
/// What all proxies hold is worked out again no more often: it costs a look at each of them.
inline constexpr Duration kSettledLook = std::chrono::milliseconds(50);
inline constexpr Duration kAbsentProxyAfter = std::chrono::milliseconds(200);
inline constexpr Duration kForgetProxyAfter = registry::kServeWithoutControl + std::chrono::seconds(2);
/// A proxy that has not answered the close of a group for this long is taken to be out of reach: two rounds
/// of a push that is gathered among some hundred proxies.
inline constexpr Duration kSilentProxyAfter = std::chrono::milliseconds(120);
/// How often groups are looked at when nothing happens.
inline constexpr Duration kGroupTick = std::chrono::milliseconds(250);
/// Longest wait for a backend's status.
inline constexpr Duration kStatusTimeout = std::chrono::milliseconds(300);
/// Whoever stays in a group has received within this time what one that left held.
inline constexpr Duration kMembersSettleTime = std::chrono::seconds(3);
/// Pause between looks at a group whose next primary can't be told yet.
inline constexpr Duration kFailoverRetry = std::chrono::milliseconds(100);
/// The same for a node that follows and compares the members of a group in which one left: it needs the
/// outcome only when it is elected, and each look asks every member.
inline constexpr Duration kFollowerSettleRetry = std::chrono::seconds(1);
/// A suspicion counts for this long.
inline constexpr Duration kSuspicionLapse = std::chrono::milliseconds(600);
/// Looks in a row that must find a suspected primary dead.
inline constexpr int kDeadLooks = 2;
/// So many proxies that suspect the same count as one look.
inline constexpr std::size_t kSuspectingProxies = 2;
/// A primary that this part of the proxies that serve its group can't use is replaced, alive or not.
inline constexpr std::size_t kOutOfReachPart = 3;
inline constexpr std::size_t kOutOfReachWhole = 5;
inline constexpr Duration kOutOfReachLapse = std::chrono::milliseconds(1500);
inline constexpr Duration kDeadLookPause = std::chrono::milliseconds(60);
/// A primary whose commits stall while replicas are behind for this long is given up.
inline constexpr Duration kStallLimit = std::chrono::milliseconds(900);
/// A primary that leaves is given up once another backend lacks at most this many commits.
inline constexpr std::uint64_t kHandOverLag = 8;
/// Pause between questions whether a promoted backend leads.
inline constexpr Duration kPromotionPoll = std::chrono::milliseconds(30);
/// A promotion that is not seen by then is ordered again.
inline constexpr Duration kPromotionLimit = std::chrono::seconds(3);
inline constexpr Duration kPromotionCallTimeout = std::chrono::milliseconds(1000);
/// A promotion is ordered only when the quorum round before it began at most this long ago.
inline constexpr Duration kPromotionFreshness = std::chrono::milliseconds(200);
/// An old primary is told to step down again and again for this long.
inline constexpr Duration kDemoteLimit = std::chrono::seconds(30);
inline constexpr Duration kDemotePause = std::chrono::milliseconds(500);

}  // namespace cairnhollow::registered::control
