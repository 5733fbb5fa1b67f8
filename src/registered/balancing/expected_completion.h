// Estimates when a read would be complete at a backend: its work and queue there, the way, and what speaks
// against the backend. Pure: the caller passes what it has observed.
#pragma once

#include <cstdint>

namespace cairnhollow::registered::balancing {

/// Milliseconds added for a backend in another zone: traffic between zones is billed and takes a longer round
/// trip.
/// With 8 ms, an eighth more bytes crossed zones at the same latencies; 100 ms saves no more.
inline constexpr double kOtherZoneCostMs = 30.0;
/// Milliseconds added for a backend of another region: the longest round trip between regions. Reads spill
/// over only while the wait in their own region exceeds the way to the other one. The observed latency alone
/// does not keep them: without reads it decays to the group's average and no longer shows the distance.
inline constexpr double kOtherRegionCostMs = 80.0;
/// Milliseconds added to the primary, so that reads go to replicas unless these are slower by more than this.
inline constexpr double kPrimaryReadCostMs = 12.0;

enum class Way : std::uint8_t { kSameZone, kOtherZone, kOtherRegion };

struct ReadCandidate {
  double latency_ms = 0;      ///< observed, without waiting here
  std::uint64_t pending = 0;  ///< statements of this proxy that run or wait there
  std::uint64_t slots = 0;    ///< statements that the backend runs at once; 0: unknown
  Way way = Way::kSameZone;
  bool is_primary = false;
};

/// Returns the cost of a read in milliseconds; lower is better.
double expected_completion_ms(const ReadCandidate& candidate);

}  // namespace cairnhollow::registered::balancing
