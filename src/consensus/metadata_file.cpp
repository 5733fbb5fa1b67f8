#include "consensus/metadata_file.h"

#include <fmt/format.h>

#include "consensus/record.h"

namespace cairnhollow::consensus {
namespace {

constexpr const char* kMetadataFileName = "raft.metadata";

}  // namespace

bool MetadataFile::recover(Reason& reason) {
  Reason read_reason;
  const auto content = runtime_.storage().read(kMetadataFileName, read_reason);
  if (!content && read_reason.code == ReasonCode::kNotFound) {
    is_new_ = true;
    value_.identity = make_identity();
    flushes_.record_change();
    return true;
  }
  if (!content) {
    reason = read_reason;
    return false;
  }
  const auto record = read_record(*content, 0);
  Reason decode_reason;
  auto metadata = record ? wire::decode<Metadata>(record->payload, decode_reason) : std::nullopt;
  if (!metadata) {
    const auto newer = record ? wire::unreadable_format(record->payload) : std::nullopt;
    reason = Reason{
        newer ? ReasonCode::kUnsupported : ReasonCode::kCorrupt, "recover_metadata", "",
        fmt::format("{} at offset 0: {}", kMetadataFileName, newer.value_or("invalid checksum or format"))};
    return false;
  }
  value_ = std::move(*metadata);
  return true;
}

void MetadataFile::set_term(std::uint64_t term) {
  value_.term = term;
  value_.voted_for = NodeName{};
  flushes_.record_change();
}

void MetadataFile::set_vote(NodeName candidate) {
  value_.voted_for = std::move(candidate);
  flushes_.record_change();
}

Awaitable<bool> MetadataFile::write(Reason& reason) {
  std::string content = make_record(wire::encode(value_), 0);
  const bool written =
      co_await runtime_.storage().write_atomically(kMetadataFileName, std::move(content), reason);
  co_return written;
}

std::string MetadataFile::make_identity() {
  // The clock is mixed in so that a generator with the same seed on every start still yields a new identity.
  const auto clock = static_cast<std::uint64_t>(runtime_.wall_clock_microseconds());
  return fmt::format("{:016x}{:016x}", runtime_.random().next(), runtime_.random().next() ^ clock);
}

}  // namespace cairnhollow::consensus
