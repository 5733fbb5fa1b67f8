// Tuning constants of the follow protocol.
#pragma once

#include "base/types.h"

namespace cairnhollow::declared::follow {

/// Minimum time between two reports of the same suspected primary.
inline constexpr Duration kSuspectRepeatInterval = std::chrono::milliseconds(100);
/// Minimum time between two requests of a follower, so that a burst of changes is answered at once.
inline constexpr Duration kMinimumRequestInterval = std::chrono::milliseconds(20);
/// Timeout for connecting to a control node.
inline constexpr Duration kFollowConnectTimeout = std::chrono::milliseconds(300);
/// Number of control nodes tried in a row before a pause (or all of them, if fewer). Prevents the followers
/// of many relays, all refused by the same voters, from trying every relay at once.
inline constexpr std::size_t kFollowAttemptsBeforePause = 3;
/// Pause after these attempts have failed, multiplied by the number of failed rounds; jittered to 1-2 times.
inline constexpr Duration kFollowRetryPause = std::chrono::milliseconds(50);
/// Upper limit of the pause between rounds, before jitter.
inline constexpr Duration kFollowRetryPauseLimit = std::chrono::milliseconds(400);
/// Upper limit of the pause if the last control node refused the Hello: one side has to be upgraded first.
inline constexpr Duration kFollowRefusedPauseLimit = std::chrono::seconds(5);
/// Pause before a control node that is busy with other followers' first configurations is asked again;
/// jittered to 1-3 times.
inline constexpr Duration kBusyRetryPause = std::chrono::milliseconds(100);
/// A control node that stays busy for this long is abandoned.
inline constexpr Duration kBusyTimeout = std::chrono::seconds(5);
/// Maximum time for a first configuration that keeps arriving. A follower that already serves tries another
/// control node sooner.
inline constexpr Duration kFirstConfigurationTimeout = std::chrono::seconds(5);
/// Range of the requested hold time, as a share of the follow interval.
inline constexpr double kHoldShareLow = 0.75;
inline constexpr double kHoldShareHigh = 1.0;

}  // namespace cairnhollow::declared::follow
