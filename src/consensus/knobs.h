// Limits and intervals of the consensus module that operators do not set.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace cairnhollow::consensus {

/// Maximum number of proposals appended by this leader but not yet applied. Further proposals are refused
/// with kOverloaded.
inline constexpr std::size_t kMaxProposalsInFlight = 1024;
/// Maximum command size in bytes.
inline constexpr std::size_t kMaxCommandBytes = std::size_t{4} << 20;
/// Maximum entries and bytes of one append request. A larger single entry is sent alone.
inline constexpr std::size_t kMaxAppendEntries = 256;
inline constexpr std::size_t kMaxAppendBytes = std::size_t{256} << 10;
/// Size of a snapshot chunk in bytes.
inline constexpr std::size_t kSnapshotChunkBytes = std::size_t{64} << 10;
/// Maximum size in bytes of a snapshot accepted from a leader.
inline constexpr std::size_t kMaxSnapshotBytes = std::size_t{1} << 30;
/// Maximum number of frames queued for one peer connection.
inline constexpr std::size_t kMaxQueuedFrames = 64;
/// Maximum number of requests handled concurrently per incoming connection.
inline constexpr std::size_t kMaxRequestsPerConnection = 32;
/// Maximum number of unanswered heartbeats to one peer.
inline constexpr std::size_t kMaxHeartbeatsInFlight = 4;
/// Entries kept in the log after they are covered by a snapshot, so that a slightly lagging follower does not
/// need the snapshot.
inline constexpr std::uint64_t kRetainedLogEntries = 256;
/// A learner becomes a voter once it lacks at most this many entries.
inline constexpr std::uint64_t kMaxLearnerLagEntries = 16;
/// Initial and maximum delay of the exponential backoff between connection attempts to a peer.
inline constexpr Duration kInitialReconnectDelay = std::chrono::milliseconds(10);
inline constexpr Duration kMaxReconnectDelay = std::chrono::milliseconds(320);
/// Reconnect delay after a peer refused the Hello: one side must be upgraded first.
inline constexpr Duration kRefusedReconnectDelay = std::chrono::seconds(5);
/// Timeout of one connection attempt.
inline constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
/// Interval between attempts to write to a disk after a failed write. An attempt writes and syncs one small
/// file; the interval allows several attempts within an election timeout.
inline constexpr Duration kStorageRetryInterval = std::chrono::milliseconds(200);
/// A connection with unanswered calls is replaced after this many election timeouts without any answer.
inline constexpr int kStalledElectionTimeouts = 3;

}  // namespace cairnhollow::consensus
