// Numbers that tune admission to backends and the connection pools.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace cairnhollow::backend {

// Admission.
/// Statements that wait for one backend at most; beyond it the least urgent one is refused.
inline constexpr std::size_t kQueueLimit = 512;
/// Shortest pause suggested to a statement that was refused for lack of capacity.
inline constexpr Duration kShortestRetryAfter = std::chrono::milliseconds(5);
/// A backend that said that its slots are taken is sent nothing for at most this long.
inline constexpr Duration kLongestBusyPause = std::chrono::milliseconds(10);
/// An urgent statement that has less time than this many times what it is expected to wait may go beyond the
/// concurrency limit.
inline constexpr int kPressedWaits = 2;

// Concurrency limit (additive increase, multiplicative decrease).
/// Weight of the newest latency in the smoothed one, at most; of answers that come faster, the time since the
/// one before as a part of kLatencySmoothing.
inline constexpr double kLatencyWeight = 0.1;
inline constexpr Duration kLatencySmoothing = std::chrono::milliseconds(100);
/// The same for the latency with at most the share under way, which tells what more than the share brings.
inline constexpr Duration kReferenceSmoothing = std::chrono::seconds(2);
/// A smoothed latency above that x this, plus the slack, says that the backend queues,
inline constexpr double kLatencyTolerance = 2.0;
inline constexpr Duration kLatencySlack = std::chrono::milliseconds(5);
/// unless this much more is served than with the share under way.
inline constexpr double kServedMore = 1.2;
inline constexpr double kLatencyDecrease = 0.9;  ///< factor, for a latency that says so
inline constexpr double kBusyDecrease = 0.75;    ///< factor, for a backend that said it is busy
/// The same for a limit within this proxy's share of the slots: others have borrowed what is missing.
inline constexpr double kBusyDecreaseInShare = 0.9;
/// One decrease within this time, since answers of one burst tell the same.
inline constexpr Duration kDecreaseInterval = std::chrono::milliseconds(50);
/// The limit grows by one part in so many, and by one at least, after this time at the limit.
inline constexpr double kGrowthPart = 8;
inline constexpr Duration kGrowthInterval = std::chrono::milliseconds(200);
/// and not before this long after a backend said that it is busy: within the share, and beyond it.
inline constexpr Duration kGrowthPauseInShare = std::chrono::milliseconds(200);
inline constexpr Duration kGrowthPauseAfterBusy = std::chrono::seconds(2);
/// It grows by one for this long after that.
inline constexpr Duration kCautionAfterBusy = std::chrono::seconds(10);

// Connections.
/// Opened ahead of need to every backend of a served group, replicas included: they are the next primaries.
inline constexpr std::uint32_t kWarmConnections = 2;
/// Idle connections kept besides those in use: one, and one more for this many in use.
inline constexpr std::uint32_t kInUsePerSpare = 4;
/// A connection that was not used for this long is closed, unless it belongs to the warm ones.
inline constexpr Duration kIdleLimit = std::chrono::seconds(30);
/// Opening one connection may take this long.
inline constexpr Duration kOpenTimeout = std::chrono::milliseconds(400);
/// Pause before connections are opened ahead of need again, after a failure; doubled up to the limit.
inline constexpr Duration kReopenPause = std::chrono::milliseconds(100);
inline constexpr Duration kReopenPauseLimit = std::chrono::seconds(2);
/// After the backend refused one more connection none is opened for this long.
inline constexpr Duration kRefusedPause = std::chrono::milliseconds(200);
/// Exchanges in a row on which a connection broke, before the idle connections count as broken too.
inline constexpr std::uint32_t kBrokenInARow = 2;
/// Pools are looked after this often, besides when something happens.
inline constexpr Duration kPoolCheckInterval = std::chrono::milliseconds(500);

}  // namespace cairnhollow::backend
