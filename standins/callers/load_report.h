// The result of a run: counts, violations, and the figures that the deployments measure.
#pragma once

#include <string>
#include <vector>

#include "standins/callers/checkers/violation.h"
#include "standins/callers/history.h"
#include "standins/callers/load_statistics.h"
#include "standins/callers/write_gaps.h"

namespace cairnhollow::standins::callers {

struct LoadReport {
  LoadStatistics statistics;
  std::uint64_t acknowledged_reads = 0;
  std::uint64_t replica_reads = 0;
  std::uint64_t acknowledged_writes = 0;
  std::uint64_t unknown_writes = 0;  ///< outcome not learned until the end
  std::uint64_t lost = 0;
  std::uint64_t doubled = 0;
  std::uint64_t stale = 0;  ///< a session did not see what it had written or read before
  std::uint64_t other_violations = 0;
  std::vector<Violation> violations;
  std::vector<WriteGap> write_gaps;

  [[nodiscard]] double replica_read_share() const;
  [[nodiscard]] Duration longest_write_gap() const;
  /// Every promise held and at least one write was acknowledged.
  [[nodiscard]] bool passed() const;
};

/// What a history tells of the counters and latencies of its run. Its times start when an attempt was sent: a
/// history does not say when an operation was due.
LoadStatistics statistics_of(const History& history);

/// Checks `history`, which must hold final records.
LoadReport make_load_report(const History& history, const LoadStatistics& statistics);

std::string report_as_json(const LoadReport& report);
std::string report_as_text(const LoadReport& report);

}  // namespace cairnhollow::standins::callers
