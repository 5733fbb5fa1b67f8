#include "standins/callers/checkers/read_your_writes.h"

#include "standins/callers/checkers/history_index.h"

namespace cairnhollow::standins::callers {

std::vector<Violation> check_read_your_writes(const History& history) {
  std::vector<Violation> violations;
  for (const auto& [session, operations] : by_session(history)) {
    std::map<std::string, std::vector<const OperationRecord*>> written;
    for (const OperationRecord* operation : operations) {
      if (!is_acknowledged(*operation)) continue;
      if (is_write(*operation)) {
        for (const std::string& record : operation->records) written[record].push_back(operation);
        continue;
      }
      const std::string& record = operation->records.front();
      for (const OperationRecord* write : written[record]) {
        const bool before = write->answered <= operation->invoked;
        if (!before || occurrences(operation->observed, write->value) > 0) continue;
        violations.push_back({"read_your_writes", request_name(*operation), record,
                              "served by " + operation->served_by + " without " + write->value});
      }
    }
  }
  return violations;
}

}  // namespace cairnhollow::standins::callers
