#include "standins/database/log_file.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace cairnhollow::standins::database {

namespace {

constexpr std::uint32_t kMagic = 0x4c484331;  ///< "1CHL" in the file
constexpr std::size_t kHeaderSize = 16;

template <class Number>
void put_little_endian(std::string& bytes, Number number) {
  for (std::size_t byte = 0; byte < sizeof(Number); ++byte) {
    bytes.push_back(static_cast<char>(number >> (8 * byte) & 0xff));
  }
}

template <class Number>
Number get_little_endian(std::string_view bytes) {
  Number number = 0;
  for (std::size_t byte = 0; byte < sizeof(Number); ++byte) {
    number |= static_cast<Number>(static_cast<unsigned char>(bytes[byte])) << (8 * byte);
  }
  return number;
}

/// The payload of the record at the start of `bytes`; empty when there is no whole record.
std::optional<std::string_view> read_record(std::string_view bytes) {
  if (bytes.size() < kHeaderSize) return std::nullopt;
  if (get_little_endian<std::uint32_t>(bytes) != kMagic) return std::nullopt;
  const auto length = get_little_endian<std::uint32_t>(bytes.substr(4));
  if (length > bytes.size() - kHeaderSize) return std::nullopt;
  const auto payload = bytes.substr(kHeaderSize, length);
  const auto checksum = get_little_endian<std::uint64_t>(bytes.substr(8));
  if (XXH64(payload.data(), payload.size(), length) != checksum) return std::nullopt;
  return payload;
}

bool holds_a_record(std::string_view bytes) {
  for (std::size_t offset = 0; offset + kHeaderSize <= bytes.size(); ++offset) {
    if (read_record(bytes.substr(offset))) return true;
  }
  return false;
}

}  // namespace

std::string frame_record(std::string_view payload) {
  std::string record;
  record.reserve(kHeaderSize + payload.size());
  put_little_endian(record, kMagic);
  put_little_endian(record, static_cast<std::uint32_t>(payload.size()));
  put_little_endian<std::uint64_t>(record, XXH64(payload.data(), payload.size(), payload.size()));
  record.append(payload);
  return record;
}

std::optional<RecoveredLog> recover_records(const std::string& file_name, std::string_view bytes,
                                            Reason& reason) {
  RecoveredLog log;
  while (const auto payload = read_record(bytes.substr(log.valid_size))) {
    log.valid_size += kHeaderSize + payload->size();
    log.records.push_back({std::string(*payload), log.valid_size});
  }
  if (log.valid_size < bytes.size() && holds_a_record(bytes.substr(log.valid_size + 1))) {
    reason = Reason{ReasonCode::kCorrupt, "recover_log", "",
                    fmt::format("{} is damaged at offset {}", file_name, log.valid_size)};
    return std::nullopt;
  }
  return log;
}

}  // namespace cairnhollow::standins::database
