// Limits and intervals of sessions that operators do not set.
#pragma once

#include <chrono>
#include <cstddef>

#include "base/types.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A lease is asked for this often.
inline constexpr Duration kReportInterval = milliseconds(400);
/// Without an answer for this long another control node is asked.
inline constexpr Duration kReportTimeout = milliseconds(600);
inline constexpr Duration kFirstReportTimeout = milliseconds(900);
/// Control nodes asked side by side for the leader: as many as vote where five lost disks are borne. More
/// machines only stand by.
inline constexpr std::size_t kControlNodesAskedAtOnce = 11;
/// Longest wait for a connection to one of them. A machine that has no power lets a dial hang, and one that
/// has it back answers a new dial at once: so dials are short, but fifty round trips between zones (2 ms on
/// the deployments) and four between regions. Each fifth is longer, for links that are slow.
inline constexpr Duration kControlDial = milliseconds(100);
inline constexpr Duration kLongControlDial = milliseconds(400);
inline constexpr int kLongControlDialEvery = 5;
inline constexpr Duration kSearchLogInterval = milliseconds(250);
/// Pause before a control node is asked again, first and at most; it doubles in between.
inline constexpr Duration kControlRetryPause = milliseconds(20);
inline constexpr Duration kControlRetryLimit = milliseconds(80);

/// Longest wait for a caller's first line.
inline constexpr Duration kStartTimeout = seconds(5);
/// Members are asked for leases this often, once control's lease has less than the head start left: its
/// renewals come 0.4 to 0.6 s apart (of 1.5 s), so one was missed by then. Three questions fit into one such
/// lease (0.5 s).
inline constexpr Duration kMemberLeaseTick = milliseconds(150);
inline constexpr Duration kMemberLeaseHeadStart = milliseconds(700);
/// Longest wait for all members' answers: half of a member lease is left when they come this late.
inline constexpr Duration kMemberRoundLimit = milliseconds(250);
/// A new session waits this long for a serving lease, e.g. while the fleet starts.
inline constexpr Duration kStartPatience = milliseconds(700);
/// So soon after its start, or after its last lease, a proxy expects the next one; so soon after the close of
/// a group, its next primary. What needs them waits only then. After a common loss of power leases came 0.12
/// to 0.52 s after the proxies' start; a proxy without one by then is cut off, and its callers are told at
/// once.
inline constexpr Duration kFirstLeaseExpectedWithin = milliseconds(700);
inline constexpr Duration kLeaseExpectedWithin = milliseconds(1500);
inline constexpr Duration kPrimaryExpectedWithin = seconds(3);
/// A proxy that is left with less of its lease takes no new sessions: two renewals in a row have failed.
inline constexpr Duration kReadyLeaseLeft = milliseconds(500);
/// Without a lease for this long, idle sessions are let go: their callers find another proxy.
inline constexpr Duration kLetGoAfter = milliseconds(2300);
/// Longest wait for a new connection to a backend.
inline constexpr Duration kDialTimeout = milliseconds(350);
/// Longest wait for a link's own exchanges: values, prepared statements, begin.
inline constexpr Duration kLinkSetupTimeout = milliseconds(400);
/// After this proxy could not reach a primary that leads, statements for it go through other proxies for this
/// long.
inline constexpr Duration kRelayPeriod = milliseconds(1500);
/// Links are opened ahead of need, one in this time.
inline constexpr Duration kWarmInterval = milliseconds(200);
/// A statement waits this long for a connection to another proxy before the next one is asked: 25 round trips
/// between zones (2 ms on the deployments), two between regions. The dial itself goes on for the limit.
inline constexpr Duration kForwardDialPatience = milliseconds(50);
inline constexpr Duration kForwardDialLimit = milliseconds(400);
/// Pause before a proxy out of reach is dialled again, first and at most; it doubles in between. It is
/// dialled as long as a statement was to be sent there within the interest.
inline constexpr Duration kForwardRedialPause = milliseconds(100);
inline constexpr Duration kForwardRedialLimit = milliseconds(800);
inline constexpr Duration kForwardInterest = seconds(10);
/// A proxy that answers nothing for this long while it is waited for is asked for a sign of life, which it
/// gives before all else; without one it is given up. A process whose share of a core is spent stands still
/// for up to 100 ms, and is not to be given up for that. Looked at no more often than the pause.
inline constexpr Duration kForwardSilence = milliseconds(80);
inline constexpr Duration kForwardAnswerLimit = milliseconds(170);
inline constexpr Duration kForwardWatchPause = milliseconds(20);
/// A proxy that could not serve a group is not sent its statements for this long, where another can.
inline constexpr Duration kAvoidProxy = seconds(1);

/// A home of a tenant is waited for this long for tokens: as long as a dial to another proxy, and a little
/// for the answer; then the next home is asked. All three fit into the limit.
inline constexpr Duration kHomePatience = milliseconds(60);
inline constexpr Duration kAdmissionLimit = milliseconds(200);
/// After all homes of a tenant had no token, none of its operations here asks again for this long: a tenant
/// at several times its limit would ask three homes for each refusal. No token is lost by it: the homes hold
/// them.
inline constexpr Duration kLeastRefusalPause = milliseconds(20);

/// Orders of proxies for a group and a tenant that are remembered, 0.5 KB each; then they are worked out
/// anew.
inline constexpr std::size_t kMostTenantDivisions = 4096;

/// A statement at a primary without an answer for this long makes the primary suspect.
inline constexpr Duration kPrimarySilence = milliseconds(300);
/// Commits without an answer for this long, while none sent later was answered, stall. Chosen, not measured:
/// under kPrimarySilence, and several times the work of a statement (4 to 30 ms on the deployments).
inline constexpr Duration kCommitStall = milliseconds(200);
/// A primary that answers nothing, but breaks off so many statements in a row for so long, can't be used,
/// whatever its status says. A connection that is reset once is one statement; what is sent next is answered.
inline constexpr int kBrokenOffStatements = 3;
inline constexpr Duration kBrokenOffFor = milliseconds(200);
inline constexpr Duration kWatchTick = milliseconds(100);
/// The same primary is not reported again within this time.
inline constexpr Duration kSuspicionRepeat = milliseconds(300);

/// Positions of a primary are remembered this long, and no closer together than the spacing.
inline constexpr Duration kPositionMemory = seconds(4);
inline constexpr Duration kPositionSpacing = milliseconds(20);
/// The newest known position of a primary may be this part of the allowed staleness old, or the next read
/// goes to the primary and brings a new one.
inline constexpr int kPositionRefreshDivisor = 2;

/// A proxy whose callers' writes run elsewhere asks the primary where its log is, once the newest known
/// position is this part of the allowed staleness old: a watch tick and an answer before a read would have to
/// go to the primary for it. Asked as long as such reads came within the interest.
inline constexpr int kPositionAskDivisor = 3;
inline constexpr Duration kPositionInterest = seconds(1);

/// Prepared statements on one link; beyond that the link is reset.
inline constexpr std::size_t kMaxPreparedOnLink = 128;
/// Values, or prepared statements, of one session.
inline constexpr std::size_t kMaxSessionEntries = 1024;
/// An idle link beyond the first is closed after this time: after a common loss of power the backends hold
/// the connections of before for a while (3 s), and the fewer there were, the more new ones they take.
/// Shorter serves no better since others are asked where a primary is full, and costs handshakes
/// (docs/WORTH.md).
inline constexpr Duration kIdleLinkLife = seconds(2);
/// The same at the proxies of the backend's zone, which have most links where each is of one tenant: a small
/// tenant comes back to a backend after some seconds.
inline constexpr Duration kNearIdleLinkLife = seconds(20);
/// Connections to one backend that a proxy has at least and at most, whatever its share is.
inline constexpr std::uint64_t kLeastConnections = 2;
inline constexpr std::uint64_t kMostConnections = 12;
/// At most where links are of one tenant each, at a proxy of the backend's zone: most of them rest.
inline constexpr std::uint64_t kMostNearConnections = 24;
/// After a backend refused one more connection none is opened for this long.
inline constexpr Duration kFullPause = milliseconds(150);

/// After SIGTERM: how long callers are still sent here, and idle sessions are kept.
inline constexpr Duration kDrainIdleAfter = milliseconds(2300);
/// How long before the end of the drain nothing more is read; what was read is answered until shortly before
/// the end.
inline constexpr Duration kDrainMargin = milliseconds(800);
inline constexpr Duration kDrainLastMargin = milliseconds(200);
inline constexpr Duration kDrainLastTick = milliseconds(20);
/// A backend that leaves as primary is used no longer than this.
inline constexpr Duration kLeavingPrimaryUse = seconds(5);

/// Of the time in which an evacuated zone must be left, what passes until a proxy with a lease has heard
/// (control's lease, of which deployments have 1.5 s), and what is kept for a process that stands still
/// between its last look and the sending.
inline constexpr Duration kLongestServingLease = milliseconds(1500);
inline constexpr Duration kEvacuationMargin = milliseconds(500);
/// Where the settings name no bound: that of the one deployment that has such orders.
inline constexpr Duration kUsualEvacuationBound = seconds(5);

/// What a backend is thought to take before anything is known.
inline constexpr double kFirstLatencyMs = 15.0;
/// A read goes to another zone when the backends of its own are slower by this. Bytes between zones cost
/// money and a round trip there 2 ms. With 8, 100 proxies and 60 backends sent an eighth more bytes between
/// zones at the same latencies (0.018 against 0.016 GB in 50 s); 100 saves no more.
inline constexpr double kOtherZoneCostMs = 30.0;
inline constexpr double kPrimaryReadCostMs = 12.0;
/// A replica's lag: part of the way that it falls with each answer, and what is added when it was taken too
/// low.
inline constexpr int kLagSmoothing = 8;
inline constexpr int kLagStepDivisor = 4;
inline constexpr Duration kLagHalfLife = milliseconds(400);
inline constexpr Duration kLatencyMemory = seconds(1);
inline constexpr double kLatencyWeight = 0.15;
inline constexpr double kUsualLatencyWeight = 0.02;

}  // namespace cairnhollow::registered::proxy
