#include "standins/callers/checkers/lost_writes.h"

#include "standins/callers/checkers/history_index.h"

namespace cairnhollow::standins::callers {

std::vector<Violation> check_lost_writes(const History& history) {
  std::vector<Violation> violations;
  const auto entries = final_entries(history);
  for (const OperationRecord& operation : history.operations) {
    if (!is_write(operation) || !is_acknowledged(operation)) continue;
    for (const std::string& record : operation.records) {
      const auto content = entries.find(record);
      const bool kept = content != entries.end() && occurrences(content->second, operation.value) > 0;
      if (kept) continue;
      const std::string why = content == entries.end() ? "the record was not read after the run"
                                                       : "acknowledged by " + operation.served_by;
      violations.push_back({"lost_write", request_name(operation), record, why});
    }
  }
  return violations;
}

}  // namespace cairnhollow::standins::callers
