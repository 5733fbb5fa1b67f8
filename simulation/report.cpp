#include "simulation/report.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "standins/callers/checkers/history_index.h"
#include "standins/callers/write_gaps.h"

namespace cairnhollow::simulation {

namespace {

double percent(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

double seconds_of(Duration duration) { return std::chrono::duration<double>(duration).count(); }

/// The longest time during which writes were offered to a group and none was accepted; zero when there is
/// none.
standins::callers::WriteGap longest_write_gap(const RunResult& result) {
  standins::callers::WriteGap longest;
  for (auto& gap : standins::callers::find_write_gaps(result.evidence.history)) {
    if (gap.longest > longest.longest) longest = std::move(gap);
  }
  return longest;
}

}  // namespace

Duration quantile(std::vector<Duration> values, double share) {
  if (values.empty()) return Duration(0);
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
  return values.at(std::clamp<std::size_t>(rank, 1, values.size()) - 1);
}

void ScenarioReport::add(const RunResult& result) {
  ++runs_;
  if (!result.violations.empty()) ++violated_seeds_;
  for (const Violation& violation : result.violations) ++violations_[violation.checker];
  for (const OperationRecord& operation : result.evidence.history.operations) {
    ++operations_;
    if (!standins::callers::is_acknowledged(operation)) continue;
    ++acknowledged_;
    if (standins::callers::is_write(operation)) continue;
    ++reads_;
    if (operation.served_by_replica) ++replica_reads_;
  }
  write_gaps_.push_back(longest_write_gap(result).longest);
}

std::string ScenarioReport::to_text() const {
  std::string text =
      fmt::format("{:<34} {:<13} seeds {:>4}  violated {:>3}  acknowledged {} of {}", scenario_,
                  profile_name(profile_), runs_, violated_seeds_, acknowledged_, operations_);
  for (const auto& [checker, count] : violations_) text += fmt::format("  {}={}", checker, count);
  return text + fmt::format("\n    write gap p50 {:.3f} p99 {:.3f} max {:.3f} s; replica reads {:.1f}%",
                            seconds_of(quantile(write_gaps_, 0.5)), seconds_of(quantile(write_gaps_, 0.99)),
                            seconds_of(quantile(write_gaps_, 1)), percent(replica_reads_, reads_));
}

std::string gap_text(const RunResult& result) {
  const auto gap = longest_write_gap(result);
  return fmt::format("gap {:.3f} s, from {:.3f} to {:.3f}, of {}", seconds_of(gap.longest),
                     seconds_of(gap.begin.time_since_epoch()), seconds_of(gap.end.time_since_epoch()),
                     fmt::join(gap.backends, " "));
}

void print_violations(const std::string& scenario, standins::callers::Profile profile,
                      const RunResult& result) {
  fmt::print("VIOLATION {} {} seed {}: {} in all\n", scenario, profile_name(profile), result.seed,
             result.violations.size());
  std::set<std::string> shown;
  for (const Violation& violation : result.violations) {
    if (!shown.insert(violation.checker).second) continue;
    fmt::print("  {}: {} {} {}\n", violation.checker, violation.request, violation.record, violation.detail);
    if (!violation.request.empty() || !violation.record.empty()) {
      fmt::print("{}", offending_history(result.evidence, violation));
    }
  }
  fmt::print("  replay: cairnhollow-sim run {} --seeds {} --profile {}\n", scenario, result.seed,
             profile_name(profile));
}

}  // namespace cairnhollow::simulation
