// Numbers that tune admission to backends and the connection pools.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace cairnhollow::declared::backend {

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

}  // namespace cairnhollow::declared::backend
