#include "standins/callers/checkers/transactions.h"

#include <fmt/format.h>

#include "standins/callers/checkers/history_index.h"

namespace cairnhollow::standins::callers {

std::vector<Violation> check_transactions(const History& history) {
  std::vector<Violation> violations;
  const auto entries = final_entries(history);
  for (const OperationRecord& operation : history.operations) {
    if (operation.kind != OperationKind::kTransaction) continue;
    std::size_t present = 0;
    for (const std::string& record : operation.records) {
      const auto content = entries.find(record);
      if (content != entries.end() && occurrences(content->second, operation.value) > 0) ++present;
    }
    if (present == 0 || present == operation.records.size()) continue;
    violations.push_back({"torn_transaction", request_name(operation), operation.records.front(),
                          fmt::format("in {} of {} records", present, operation.records.size())});
  }
  return violations;
}

}  // namespace cairnhollow::standins::callers
