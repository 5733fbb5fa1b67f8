// The data: records by name, each a list of entries. Deterministic; driven by the log.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "standins/database/log_entry.h"

namespace cairnhollow::standins::database {

struct Record {
  std::vector<std::string> entries;
  std::uint64_t version = 0;  ///< log index of the last write

  template <class Archive>
  void serialize(Archive& archive) {
    archive(entries, version);
  }
};

/// Of one operation.
struct OperationResult {
  OperationKind kind = OperationKind::kGet;
  std::vector<std::string> entries;     ///< kGet
  std::optional<std::uint64_t> length;  ///< kAppend, kPut: entries in the record once committed
};

class RecordStore {
 public:
  /// Carries out one operation as part of the entry at `index`.
  OperationResult run(const Operation& operation, std::uint64_t index);
  /// An empty record when there is none of that name.
  [[nodiscard]] const Record& read(const std::string& record) const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(records_);
  }

 private:
  std::map<std::string, Record> records_;
};

}  // namespace cairnhollow::standins::database
