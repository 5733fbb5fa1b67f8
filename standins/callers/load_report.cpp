#include "standins/callers/load_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>

#include "standins/callers/checkers/all_checkers.h"
#include "standins/callers/checkers/history_index.h"

namespace cairnhollow::standins::callers {

namespace json = boost::json;

namespace {

constexpr std::size_t kViolationsShown = 20;

double milliseconds(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

void count_violation(const Violation& violation, LoadReport& report) {
  const std::string& checker = violation.checker;
  if (checker == "lost_write") {
    ++report.lost;
  } else if (checker == "doubled_write" || checker == "single_use_write") {
    ++report.doubled;
  } else if (checker == "read_your_writes" || checker == "monotonic_reads") {
    ++report.stale;
  } else {
    ++report.other_violations;
  }
}

void count_operation(const OperationRecord& operation, LoadReport& report) {
  const bool acknowledged = is_acknowledged(operation);
  if (is_write(operation)) {
    if (acknowledged) ++report.acknowledged_writes;
    if (!acknowledged && operation.outcome != OperationOutcome::kNotRun) ++report.unknown_writes;
    return;
  }
  if (!acknowledged) return;
  ++report.acknowledged_reads;
  if (operation.served_by_replica) ++report.replica_reads;
}

json::object latency_json(const LatencyHistogram& latencies) {
  return {{"count", latencies.count()},
          {"p50_ms", milliseconds(latencies.quantile(0.50))},
          {"p99_ms", milliseconds(latencies.quantile(0.99))},
          {"max_ms", milliseconds(latencies.max())}};
}

std::string latency_text(const char* name, const LatencyHistogram& latencies) {
  return fmt::format("  {:<13} {:>8}   p50 {:>8.2f} ms   p99 {:>8.2f} ms   max {:>8.2f} ms\n", name,
                     latencies.count(), milliseconds(latencies.quantile(0.50)),
                     milliseconds(latencies.quantile(0.99)), milliseconds(latencies.max()));
}

std::string requests_text(const LoadStatistics& statistics) {
  // A recorded history tells of attempts only.
  if (statistics.planned == 0) {
    return fmt::format("recorded   {} attempts, {} of them answered as asked\n", statistics.attempts,
                       statistics.succeeded);
  }
  return fmt::format("requests   {}: {} succeeded, {} gave up ({} attempts, {} changes of proxy)\n",
                     statistics.planned, statistics.succeeded, statistics.gave_up, statistics.attempts,
                     statistics.moves);
}

std::string refusals_text(const LoadStatistics& statistics) {
  std::uint64_t refused = 0;
  for (const auto& [code, count] : statistics.refusals) refused += count;
  std::string text = fmt::format("refused    {} of {} attempts\n", refused, statistics.attempts);
  for (const auto& [code, count] : statistics.refusals) text += fmt::format("  {:>8} {}\n", count, code);
  return text;
}

json::array violations_json(const std::vector<Violation>& violations) {
  json::array list;
  for (const Violation& violation : violations) {
    list.push_back(json::object{{"checker", violation.checker},
                                {"request", violation.request},
                                {"record", violation.record},
                                {"detail", violation.detail}});
  }
  return list;
}

json::array write_gaps_json(const std::vector<WriteGap>& gaps) {
  json::array list;
  for (const WriteGap& gap : gaps) {
    list.push_back(json::object{{"backends", json::value_from(gap.backends)},
                                {"accepted_writes", gap.accepted_writes},
                                {"longest_ms", milliseconds(gap.longest)}});
  }
  return list;
}

}  // namespace

double LoadReport::replica_read_share() const {
  if (acknowledged_reads == 0) return 0;
  return static_cast<double>(replica_reads) / static_cast<double>(acknowledged_reads);
}

Duration LoadReport::longest_write_gap() const {
  Duration longest{0};
  for (const WriteGap& gap : write_gaps) longest = std::max(longest, gap.longest);
  return longest;
}

bool LoadReport::passed() const { return violations.empty() && acknowledged_writes > 0; }

LoadStatistics statistics_of(const History& history) {
  LoadStatistics statistics;
  statistics.attempts = history.operations.size();
  for (const OperationRecord& operation : history.operations) {
    if (!operation.refusal.empty()) ++statistics.refusals[operation.refusal];
    if (!is_acknowledged(operation)) continue;
    ++statistics.succeeded;
    const Duration latency(operation.answered - operation.invoked);
    if (operation.kind == OperationKind::kRead) statistics.reads.record(latency);
    if (operation.kind == OperationKind::kAppend) statistics.writes.record(latency);
    if (operation.kind == OperationKind::kTransaction) statistics.transactions.record(latency);
  }
  return statistics;
}

LoadReport make_load_report(const History& history, const LoadStatistics& statistics) {
  LoadReport report;
  report.statistics = statistics;
  for (const OperationRecord& operation : history.operations) count_operation(operation, report);
  report.violations = check_history(history);
  for (const Violation& violation : report.violations) count_violation(violation, report);
  report.write_gaps = find_write_gaps(history);
  return report;
}

std::string report_as_json(const LoadReport& report) {
  const LoadStatistics& statistics = report.statistics;
  json::object refusals;
  for (const auto& [code, count] : statistics.refusals) refusals[code] = count;
  const json::object document{{"passed", report.passed()},
                              {"operations", statistics.planned},
                              {"succeeded", statistics.succeeded},
                              {"gave_up", statistics.gave_up},
                              {"attempts", statistics.attempts},
                              {"proxy_changes", statistics.moves},
                              {"resolved", statistics.resolved},
                              {"refusals", refusals},
                              {"acknowledged_reads", report.acknowledged_reads},
                              {"acknowledged_writes", report.acknowledged_writes},
                              {"unknown_writes", report.unknown_writes},
                              {"lost", report.lost},
                              {"doubled", report.doubled},
                              {"stale", report.stale},
                              {"other_violations", report.other_violations},
                              {"replica_read_share", report.replica_read_share()},
                              {"longest_write_gap_ms", milliseconds(report.longest_write_gap())},
                              {"write_gaps", write_gaps_json(report.write_gaps)},
                              {"reads", latency_json(statistics.reads)},
                              {"writes", latency_json(statistics.writes)},
                              {"transactions", latency_json(statistics.transactions)},
                              {"violations", violations_json(report.violations)}};
  return json::serialize(document);
}

std::string report_as_text(const LoadReport& report) {
  const LoadStatistics& statistics = report.statistics;
  std::string text = requests_text(statistics);
  text += fmt::format("writes     {} acknowledged, {} settled by resolve, {} still unknown\n",
                      report.acknowledged_writes, statistics.resolved, report.unknown_writes);
  text += fmt::format("lost {}   doubled {}   stale {}   other violations {}\n", report.lost, report.doubled,
                      report.stale, report.other_violations);
  text += fmt::format("replicas   served {:.1f}% of {} reads\n", 100 * report.replica_read_share(),
                      report.acknowledged_reads);
  text += "latency, from when the operation was due:\n";
  text += latency_text("reads", statistics.reads);
  text += latency_text("writes", statistics.writes);
  text += latency_text("transactions", statistics.transactions);
  text += "failover gap, the longest time without an accepted write while writes were offered, per group:\n";
  for (const WriteGap& gap : report.write_gaps) {
    text += fmt::format("  {:>8.1f} ms   {} writes by {}\n", milliseconds(gap.longest), gap.accepted_writes,
                        fmt::join(gap.backends, ", "));
  }
  text += refusals_text(statistics);
  for (std::size_t index = 0; index < std::min(kViolationsShown, report.violations.size()); ++index) {
    const Violation& violation = report.violations[index];
    text += fmt::format("VIOLATION {} {} {}: {}\n", violation.checker, violation.request, violation.record,
                        violation.detail);
  }
  return text + (report.passed() ? "PASSED\n" : "FAILED\n");
}

}  // namespace cairnhollow::standins::callers
