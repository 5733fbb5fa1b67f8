#include "standins/callers/checkers/single_use_writes.h"

#include <fmt/format.h>

#include "standins/callers/checkers/history_index.h"

namespace cairnhollow::standins::callers {

std::vector<Violation> check_single_use_writes(const History& history) {
  std::vector<Violation> violations;
  const auto entries = final_entries(history);
  for (const OperationRecord& operation : history.operations) {
    if (!is_write(operation) || operation.repeatable) continue;
    for (const std::string& record : operation.records) {
      const auto content = entries.find(record);
      if (content == entries.end()) continue;
      const std::size_t runs = occurrences(content->second, operation.value);
      const bool allowed = is_acknowledged(operation) ? runs == 1 : runs <= 1;
      if (allowed) continue;
      violations.push_back(
          {"single_use_write", request_name(operation), record, fmt::format("took effect {} times", runs)});
    }
  }
  return violations;
}

}  // namespace cairnhollow::standins::callers
