#include "standins/database/transaction.h"

namespace cairnhollow::standins::database {

OperationResult Transaction::run(const Operation& operation, const RecordStore& committed) {
  if (operation.kind == OperationKind::kGet) return read(operation.record, committed);
  writes_.push_back(operation);
  OperationResult result;
  result.kind = operation.kind;
  return result;
}

OperationResult Transaction::read(const std::string& record, const RecordStore& committed) {
  const auto& current = committed.read(record);
  read_versions_.emplace(record, current.version);
  OperationResult result;
  result.entries = current.entries;
  for (const auto& write : writes_) {
    if (write.record != record) continue;
    if (write.kind == OperationKind::kPut) result.entries.clear();
    result.entries.push_back(write.value);
  }
  return result;
}

WriteCommand Transaction::to_command() const {
  WriteCommand command;
  command.operations = writes_;
  for (const auto& [record, version] : read_versions_) command.reads.push_back({record, version});
  return command;
}

}  // namespace cairnhollow::standins::database
