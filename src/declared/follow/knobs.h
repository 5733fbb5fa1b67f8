// Numbers that tune the follow stream.
#pragma once

#include "base/types.h"

namespace cairnhollow::declared::follow {

/// The same suspicion is not sent again within this time.
inline constexpr Duration kSuspectRepeatInterval = std::chrono::milliseconds(100);
/// Between two questions of one follower, so that a burst of changes is answered together.
inline constexpr Duration kMinimumQuestionInterval = std::chrono::milliseconds(20);
/// A connection to a control node is given up on after this time.
inline constexpr Duration kFollowConnectTimeout = std::chrono::milliseconds(300);
/// So many control nodes are tried one after the other without a pause, or all when they are fewer. Behind
/// many relays that are all refused by the same voters, a round of all would be asked of them by everyone at
/// once.
inline constexpr std::size_t kFollowTriesWithoutPause = 3;
/// Pause after these have failed, before more are tried; jittered to 1-2 times.
inline constexpr Duration kFollowRetryPause = std::chrono::milliseconds(50);
/// Longest pause between rounds.
inline constexpr Duration kFollowRetryPauseLimit = std::chrono::milliseconds(400);
/// The same when the last control node refused the Hello: one side must be upgraded first.
inline constexpr Duration kFollowRefusedPauseLimit = std::chrono::seconds(5);
/// A control node that is busy with other followers' first configurations is asked again after this time,
/// jittered to 1-3 times.
inline constexpr Duration kBusyPause = std::chrono::milliseconds(100);
/// A control node that is busy for this long is given up on.
inline constexpr Duration kBusyLimit = std::chrono::seconds(5);
/// A first configuration that keeps coming may take this long; who serves already asks elsewhere sooner.
inline constexpr Duration kFirstConfigurationLimit = std::chrono::seconds(5);
/// The hold time asked for is this share of the follow interval, lowest and highest.
inline constexpr double kHoldShareLow = 0.75;
inline constexpr double kHoldShareHigh = 1.0;

}  // namespace cairnhollow::declared::follow
