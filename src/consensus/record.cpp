#include "consensus/record.h"

#include <xxhash.h>

#include "wire/codec.h"

namespace cairnhollow::consensus {
namespace {

/// First field of every record, so that intact records after damaged bytes can be found.
constexpr std::uint64_t kRecordMarker = 0x9d3c7a51e84b2f06;

/// Has a fixed encoded size.
struct RecordHeader {
  std::uint64_t marker = kRecordMarker;
  std::uint64_t payload_size = 0;
  std::uint64_t synced_size = 0;
  std::uint64_t checksum = 0;  ///< over this header with a zero checksum, then the payload

  template <class Archive>
  void serialize(Archive& archive) {
    archive(marker, payload_size, synced_size, checksum);
  }
};

std::size_t header_size() {
  static const std::size_t size = wire::encode(RecordHeader{}).size();
  return size;
}

std::uint64_t record_checksum(RecordHeader header, std::string_view payload) {
  header.checksum = 0;
  std::string bytes = wire::encode(header);
  bytes.append(payload);
  return checksum_of(bytes);
}

/// The common first bytes of every encoded header.
std::string header_prefix() {
  const std::size_t bytes_after_marker = sizeof(std::uint64_t) * 3;
  return wire::encode(RecordHeader{}).substr(0, header_size() - bytes_after_marker);
}

}  // namespace

std::uint64_t checksum_of(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

std::string make_record(std::string_view payload, std::uint64_t synced_size) {
  RecordHeader header;
  header.payload_size = payload.size();
  header.synced_size = synced_size;
  header.checksum = record_checksum(header, payload);
  std::string record = wire::encode(header);
  record.append(payload);
  return record;
}

std::optional<Record> read_record(const std::string& content, std::uint64_t offset) {
  if (offset > content.size() || content.size() - offset < header_size()) return std::nullopt;
  Reason ignored;
  const auto header = wire::decode<RecordHeader>(content.substr(offset, header_size()), ignored);
  if (!header || header->marker != kRecordMarker) return std::nullopt;
  const std::uint64_t payload_offset = offset + header_size();
  if (header->payload_size > content.size() - payload_offset) return std::nullopt;
  Record record;
  record.payload = content.substr(payload_offset, header->payload_size);
  if (record_checksum(*header, record.payload) != header->checksum) return std::nullopt;
  record.offset = offset;
  record.end = payload_offset + header->payload_size;
  record.synced_size = header->synced_size;
  return record;
}

std::optional<Record> find_record(const std::string& content, std::uint64_t offset) {
  const std::string prefix = header_prefix();
  for (auto found = content.find(prefix, offset); found != std::string::npos;
       found = content.find(prefix, found + 1)) {
    if (auto record = read_record(content, found)) return record;
  }
  return std::nullopt;
}

}  // namespace cairnhollow::consensus
