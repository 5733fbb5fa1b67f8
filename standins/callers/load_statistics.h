// Counters and latencies of a run of callers.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "standins/callers/latency_histogram.h"

namespace cairnhollow::standins::callers {

/// Latencies run from the instant at which an operation was due, not from when it could be sent, so that a
/// stalled system is charged for the operations that waited (no coordinated omission).
struct LoadStatistics {
  std::uint64_t planned = 0;    ///< operations that were due
  std::uint64_t succeeded = 0;  ///< answered, in the end
  std::uint64_t gave_up = 0;    ///< every attempt was refused until the caller's patience ended
  std::uint64_t attempts = 0;
  std::uint64_t resolved = 0;                     ///< unknown outcomes that a resolve made definite
  std::uint64_t unresolved = 0;                   ///< and those it did not
  std::uint64_t moves = 0;                        ///< changes of proxy
  std::map<std::string, std::uint64_t> refusals;  ///< by reason code
  LatencyHistogram reads;
  LatencyHistogram writes;
  LatencyHistogram transactions;
};

}  // namespace cairnhollow::standins::callers
