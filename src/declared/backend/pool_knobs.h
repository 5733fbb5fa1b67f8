// Tuning constants of admission to backends and of the connection pools.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace cairnhollow::declared::backend {

// Admission.
/// Maximum number of statements that wait for one backend; when it is exceeded the least urgent one is
/// refused.
inline constexpr std::size_t kQueueLimit = 512;
/// Shortest pause suggested to a caller whose statement was refused for lack of capacity.
inline constexpr Duration kMinRetryAfter = std::chrono::milliseconds(5);
/// Longest time for which nothing is sent to a backend that reported all its slots in use.
inline constexpr Duration kMaxBusyPause = std::chrono::milliseconds(10);
/// An urgent statement may exceed the concurrency limit if the time until its latest start is less than this
/// multiple of its expected wait.
inline constexpr int kDeadlinePressureWaits = 2;

// Connections.
/// Minimum number of connections opened ahead of need to every backend of a served group, including replicas,
/// each of which may become the next primary.
inline constexpr std::uint32_t kWarmConnections = 2;
/// Idle connections kept besides those in use: one, plus one for every this many in use.
inline constexpr std::uint32_t kInUsePerSpare = 4;
/// A connection unused for this long is closed unless the pool is at its warm minimum.
inline constexpr Duration kIdleLimit = std::chrono::seconds(30);
/// Time limit for opening one connection.
inline constexpr Duration kOpenTimeout = std::chrono::milliseconds(400);
/// Pause after a failure before connections are opened ahead of need again; doubled up to the limit.
inline constexpr Duration kReopenPause = std::chrono::milliseconds(100);
inline constexpr Duration kReopenPauseLimit = std::chrono::seconds(2);
/// Pause before the next attempt after the backend refused a connection.
inline constexpr Duration kConnectionRefusedPause = std::chrono::milliseconds(200);
/// Number of consecutive connections returned broken after which the idle connections are dropped as well.
inline constexpr std::uint32_t kConsecutiveBrokenLimit = 2;
/// Interval between periodic checks of the pools, in addition to checks triggered by events.
inline constexpr Duration kPoolCheckInterval = std::chrono::milliseconds(500);

}  // namespace cairnhollow::declared::backend
