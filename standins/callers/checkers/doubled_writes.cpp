#include "standins/callers/checkers/doubled_writes.h"

#include "standins/callers/checkers/history_index.h"

namespace cairnhollow::standins::callers {

namespace {

void check_entries(const std::vector<std::string>& entries, const std::string& request,
                   const std::string& record, std::vector<Violation>& violations) {
  std::set<std::string> seen;
  for (const std::string& entry : entries) {
    if (seen.insert(entry).second) continue;
    violations.push_back({"doubled_write", request, record, entry + " is there more than once"});
  }
}

}  // namespace

std::vector<Violation> check_doubled_writes(const History& history) {
  std::vector<Violation> violations;
  for (const OperationRecord& operation : history.operations) {
    if (is_write(operation)) continue;
    check_entries(operation.observed, request_name(operation), operation.records.front(), violations);
  }
  for (const FinalRecord& final_record : history.final_records) {
    check_entries(final_record.entries, "", final_record.record, violations);
  }
  return violations;
}

}  // namespace cairnhollow::standins::callers
