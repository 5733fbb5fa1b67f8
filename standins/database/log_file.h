// The log file's format: records of magic number, length, checksum and payload. Pure functions over bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/reason.h"

namespace cairnhollow::standins::database {

/// One record: 4 bytes magic number, 4 bytes length, 8 bytes XXH64 of the payload seeded with the length
/// (all little endian), then the payload.
std::string frame_record(std::string_view payload);

struct RecoveredRecord {
  std::string payload;
  std::uint64_t end = 0;  ///< offset behind the record
};

struct RecoveredLog {
  std::vector<RecoveredRecord> records;
  std::uint64_t valid_size = 0;  ///< behind it lies a torn tail, to be cut off
};

/// Reads all whole records. A crash tears only what was not synced, which lies at the end: bytes that are
/// no record are a torn tail when no whole record follows them. When one does, something that was
/// synced is damaged: empty with kCorrupt, naming file and offset.
std::optional<RecoveredLog> recover_records(const std::string& file_name, std::string_view bytes,
                                            Reason& reason);

}  // namespace cairnhollow::standins::database
