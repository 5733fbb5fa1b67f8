#include "standins/callers/checkers/record_prefixes.h"

#include <algorithm>

#include "standins/callers/checkers/history_index.h"

namespace cairnhollow::standins::callers {

namespace {

bool is_prefix(const std::vector<std::string>& shorter, const std::vector<std::string>& longer) {
  return shorter.size() <= longer.size() && std::equal(shorter.begin(), shorter.end(), longer.begin());
}

/// The content after the run, or else the longest that any read saw: all reads must be prefixes of it.
std::map<std::string, std::vector<std::string>> reference_entries(const History& history) {
  auto reference = final_entries(history);
  const auto finals = reference;
  for (const OperationRecord& operation : history.operations) {
    if (is_write(operation) || !is_acknowledged(operation)) continue;
    const std::string& record = operation.records.front();
    if (finals.count(record) > 0) continue;
    if (operation.observed.size() > reference[record].size()) reference[record] = operation.observed;
  }
  return reference;
}

}  // namespace

std::vector<Violation> check_record_prefixes(const History& history) {
  std::vector<Violation> violations;
  const auto reference = reference_entries(history);
  for (const OperationRecord& operation : history.operations) {
    if (is_write(operation) || !is_acknowledged(operation)) continue;
    const std::string& record = operation.records.front();
    if (is_prefix(operation.observed, reference.at(record))) continue;
    violations.push_back({"forked_record", request_name(operation), record,
                          "entries from " + operation.served_by + " are no prefix of the record's"});
  }
  return violations;
}

}  // namespace cairnhollow::standins::callers
