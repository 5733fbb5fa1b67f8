#include "standins/callers/checkers/history_index.h"

#include <algorithm>

namespace cairnhollow::standins::callers {

std::string request_name(const OperationRecord& operation) {
  return operation.session.value + ":" + std::to_string(operation.number);
}

bool is_write(const OperationRecord& operation) { return operation.kind != OperationKind::kRead; }

bool is_acknowledged(const OperationRecord& operation) {
  return operation.outcome == OperationOutcome::kAcknowledged;
}

std::map<std::string, std::vector<std::string>> final_entries(const History& history) {
  std::map<std::string, std::vector<std::string>> entries;
  for (const FinalRecord& final_record : history.final_records) {
    entries[final_record.record] = final_record.entries;
  }
  return entries;
}

std::size_t occurrences(const std::vector<std::string>& entries, const std::string& value) {
  return static_cast<std::size_t>(std::count(entries.begin(), entries.end(), value));
}

std::map<SessionName, std::vector<const OperationRecord*>> by_session(const History& history) {
  std::map<SessionName, std::vector<const OperationRecord*>> sessions;
  for (const OperationRecord& operation : history.operations) {
    sessions[operation.session].push_back(&operation);
  }
  for (auto& [name, operations] : sessions) {
    std::sort(operations.begin(), operations.end(),
              [](const auto* left, const auto* right) { return left->number < right->number; });
  }
  return sessions;
}

}  // namespace cairnhollow::standins::callers
