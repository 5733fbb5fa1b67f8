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
/// So soon after its start, or after its last lease, a proxy expects the next one. What needs it waits only
/// then. After a common loss of power leases came 0.12
/// to 0.52 s after the proxies' start; a proxy without one by then is cut off, and its callers are told at
/// once.
inline constexpr Duration kFirstLeaseExpectedWithin = milliseconds(700);
inline constexpr Duration kLeaseExpectedWithin = milliseconds(1500);
/// A proxy that is left with less of its lease takes no new sessions: two renewals in a row have failed.
inline constexpr Duration kReadyLeaseLeft = milliseconds(500);
/// Without a lease for this long, idle sessions are let go: their callers find another proxy.
inline constexpr Duration kLetGoAfter = milliseconds(2300);
/// Longest wait for a new connection to a backend.
inline constexpr Duration kDialTimeout = milliseconds(350);
/// Longest wait for a link's own exchanges: values, prepared statements, begin.
inline constexpr Duration kLinkSetupTimeout = milliseconds(400);
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
/// A forwarded statement's answer may take this much longer than the statement itself.
inline constexpr Duration kForwardSlack = milliseconds(60);
/// Proxies that one statement is forwarded to, one after the other.
inline constexpr int kMaxForwards = 3;
/// Times that one statement is passed on after it had waited for a primary. A second primary may fall while
/// it is on its way; who has waited thrice has no time left.
inline constexpr int kMaxReroutes = 2;
/// A backend that failed to answer is passed over for this long where another can serve.
inline constexpr Duration kAvoidBackend = milliseconds(400);
/// A read that got no answer goes to another backend after this part of the time that callers aim at.
inline constexpr int kReadPatienceDivisor = 2;
inline constexpr Duration kLeastReadPatience = milliseconds(100);
/// A request waits this part of its time for a lease or a primary, either of which most often comes back that
/// soon; then it is refused.
inline constexpr int kRefusePatienceDivisor = 3;
/// Backends tried for one statement.
inline constexpr int kMaxAttempts = 4;
/// Pause before a busy backend is tried again.
inline constexpr Duration kBusyPause = milliseconds(8);
/// What a refused caller is told to wait while a group has no primary.
inline constexpr Duration kRetryAfterWithoutPrimary = milliseconds(300);

/// A read that may not go to the primary waits this long for the primary's position, where none is known: a
/// new connection and an exchange across regions.
inline constexpr Duration kPositionPatience = milliseconds(200);

/// A quota owner is waited for this long for tokens: as long as a dial to another proxy, and a little
/// for the answer; then the next one is asked. All three fit into the limit.
inline constexpr Duration kOwnerPatience = milliseconds(60);
inline constexpr Duration kAdmissionLimit = milliseconds(200);
/// After all owners of a tenant's quota had no token, none of its operations here asks again for this long: a
/// tenant at several times its limit would ask three of them for each refusal. No token is lost by it: the
/// owners hold them.
inline constexpr Duration kLeastRefusalPause = milliseconds(20);

/// Orders of proxies for a group and a tenant that are remembered, 0.5 KB each; then they are worked out
/// anew.
inline constexpr std::size_t kMostTenantDivisions = 4096;

/// A statement that took longer is logged with where its time went.
inline constexpr Duration kSlowStatement = milliseconds(200);
inline constexpr Duration kWatchTick = milliseconds(100);
/// The same primary is not reported again within this time.
inline constexpr Duration kSuspicionRepeat = milliseconds(300);

/// Prepared statements on one link; beyond that the link is reset.
inline constexpr std::size_t kMaxPreparedOnLink = 128;
/// Values, or prepared statements, of one session.
inline constexpr std::size_t kMaxSessionEntries = 1024;
/// An idle link beyond the first is closed after this time: after a common loss of power the backends hold
/// the connections of before for a while (3 s), and the fewer there were, the more new ones they take.
/// Shorter serves no better since others are asked where a primary is full, and costs handshakes
/// (docs/WORTH.md).
inline constexpr Duration kIdleLinkLife = seconds(2);
/// After a backend refused one more connection none is opened for this long.
inline constexpr Duration kFullPause = milliseconds(150);

/// After SIGTERM: how long callers are still sent here, and idle sessions are kept.
inline constexpr Duration kDrainIdleAfter = milliseconds(2300);
/// How long before the end of the drain nothing more is read; what was read is answered until shortly before
/// the end.
inline constexpr Duration kDrainMargin = milliseconds(800);
inline constexpr Duration kDrainLastMargin = milliseconds(200);
inline constexpr Duration kDrainLastTick = milliseconds(20);

/// A statement waits this part of the time that callers aim at for a backend that is full.
inline constexpr int kGatePatienceDivisor = 2;

}  // namespace cairnhollow::registered::proxy
