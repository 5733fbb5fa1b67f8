// Limits and intervals of the consensus module that operators do not set.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace cairnhollow::consensus {

/// Proposals appended by this leader and not yet applied; further ones are refused with kOverloaded.
inline constexpr std::size_t kMaxProposalsInFlight = 1024;
/// Largest command accepted, in bytes.
inline constexpr std::size_t kMaxCommandBytes = std::size_t{4} << 20;
/// Entries and bytes of one append request; a single larger entry still travels alone.
inline constexpr std::size_t kMaxAppendEntries = 256;
inline constexpr std::size_t kMaxAppendBytes = std::size_t{256} << 10;
/// Bytes of one snapshot chunk.
inline constexpr std::size_t kSnapshotChunkBytes = std::size_t{64} << 10;
/// Largest snapshot accepted from a leader, in bytes.
inline constexpr std::size_t kMaxSnapshotBytes = std::size_t{1} << 30;
/// Frames waiting for one peer's connection.
inline constexpr std::size_t kMaxQueuedFrames = 64;
/// Requests of one incoming connection handled side by side.
inline constexpr std::size_t kMaxRequestsPerConnection = 32;
/// Heartbeats to one peer that are not yet answered.
inline constexpr std::size_t kMaxHeartbeatsInFlight = 4;
/// Entries kept behind a snapshot so that a slightly slow follower needs no snapshot.
inline constexpr std::uint64_t kLogTailEntries = 256;
/// A learner is taken in as a voter once it lacks at most this many entries.
inline constexpr std::uint64_t kCaughtUpEntries = 16;
/// Wait between attempts to connect to a peer: doubles from the first to the last value.
inline constexpr Duration kFirstReconnectDelay = std::chrono::milliseconds(10);
inline constexpr Duration kLastReconnectDelay = std::chrono::milliseconds(320);
/// The same after a peer refused the Hello: one of the two must be upgraded first.
inline constexpr Duration kRefusedReconnectDelay = std::chrono::seconds(5);
/// Longest wait for one connection attempt.
inline constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
/// A disk that refused a write is tried again this often. A try costs one small file's write and sync, a
/// leader elsewhere takes an election timeout (some 0.6 s) to come, so a few tries in that time are enough.
inline constexpr Duration kStorageRetryInterval = std::chrono::milliseconds(200);
/// A connection with unanswered calls and no answer for this many election timeouts is replaced.
inline constexpr int kStalledElectionTimeouts = 3;

}  // namespace cairnhollow::consensus
