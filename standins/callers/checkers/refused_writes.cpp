#include "standins/callers/checkers/refused_writes.h"

#include "standins/callers/checkers/history_index.h"

namespace cairnhollow::standins::callers {

namespace {

void check_entries(const std::vector<std::string>& entries, const std::string& where,
                   const std::string& record, const std::map<std::string, std::string>& refused,
                   std::vector<Violation>& violations) {
  for (const std::string& entry : entries) {
    const auto request = refused.find(entry);
    if (request == refused.end()) continue;
    violations.push_back({"refused_write", request->second, record, "refused as not run, but seen " + where});
  }
}

}  // namespace

std::vector<Violation> check_refused_writes(const History& history) {
  std::map<std::string, std::string> refused;
  for (const OperationRecord& operation : history.operations) {
    const bool not_run = operation.outcome == OperationOutcome::kNotRun;
    if (is_write(operation) && not_run) refused[operation.value] = request_name(operation);
  }
  std::vector<Violation> violations;
  for (const OperationRecord& operation : history.operations) {
    if (is_write(operation)) continue;
    check_entries(operation.observed, "by " + request_name(operation), operation.records.front(), refused,
                  violations);
  }
  for (const FinalRecord& final_record : history.final_records) {
    check_entries(final_record.entries, "after the run", final_record.record, refused, violations);
  }
  return violations;
}

}  // namespace cairnhollow::standins::callers
