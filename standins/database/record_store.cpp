#include "standins/database/record_store.h"

namespace cairnhollow::standins::database {

OperationResult RecordStore::run(const Operation& operation, std::uint64_t index) {
  OperationResult result;
  result.kind = operation.kind;
  if (operation.kind == OperationKind::kGet) {
    result.entries = read(operation.record).entries;
    return result;
  }
  auto& record = records_[operation.record];
  if (operation.kind == OperationKind::kPut) record.entries.clear();
  record.entries.push_back(operation.value);
  record.version = index;
  result.length = record.entries.size();
  return result;
}

const Record& RecordStore::read(const std::string& record) const {
  static const Record missing;
  const auto found = records_.find(record);
  return found == records_.end() ? missing : found->second;
}

}  // namespace cairnhollow::standins::database
