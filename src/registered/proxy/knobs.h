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

}  // namespace cairnhollow::registered::proxy
