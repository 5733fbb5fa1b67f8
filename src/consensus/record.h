// Checksummed records, the unit of every file of this module. A file with one record holds a single value
// (metadata, snapshot); a file with many records is the log.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cairnhollow::consensus {

/// An intact record read from a file.
struct Record {
  std::uint64_t offset = 0;       ///< offset of its first byte in the file
  std::uint64_t end = 0;          ///< offset one past its last byte
  std::uint64_t synced_size = 0;  ///< number of bytes of the file that were durable when it was written
  std::string payload;
};

/// Returns the XXH3 hash of the bytes. Detects damage, not tampering.
std::uint64_t checksum_of(std::string_view bytes);

/// Encodes a payload as one record.
std::string make_record(std::string_view payload, std::uint64_t synced_size);

/// Returns the record at `offset`, or std::nullopt if there is none or it is truncated or damaged.
std::optional<Record> read_record(const std::string& content, std::uint64_t offset);

/// Returns the first intact record at or after `offset`, skipping damaged bytes.
std::optional<Record> find_record(const std::string& content, std::uint64_t offset);

}  // namespace cairnhollow::consensus
