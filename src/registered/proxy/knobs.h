// Limits and intervals of sessions that operators do not set.
#pragma once

#include <chrono>
#include <cstddef>

#include "base/types.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longest wait for a caller's first line.
inline constexpr Duration kStartTimeout = seconds(5);
/// A new session waits this long for a serving lease, e.g. while the fleet starts.
inline constexpr Duration kStartPatience = milliseconds(700);
/// Longest wait for a new connection to a backend.
inline constexpr Duration kDialTimeout = milliseconds(350);
/// Longest wait for a link's own exchanges: values, prepared statements, begin.
inline constexpr Duration kLinkSetupTimeout = milliseconds(400);
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

/// A statement that took longer is logged with where its time went.
inline constexpr Duration kSlowStatement = milliseconds(200);
inline constexpr Duration kWatchTick = milliseconds(100);

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

/// A statement waits this part of the time that callers aim at for a backend that is full.
inline constexpr int kGatePatienceDivisor = 2;

}  // namespace cairnhollow::registered::proxy
