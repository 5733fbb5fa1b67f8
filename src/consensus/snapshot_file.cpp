#include "consensus/snapshot_file.h"

#include <fmt/format.h>

#include "consensus/record.h"

namespace cairnhollow::consensus {
namespace {

constexpr const char* kSnapshotFileName = "raft.snapshot";

}  // namespace

std::optional<Snapshot> SnapshotFile::read(Reason& reason) {
  Reason read_reason;
  const auto content = storage_.read(kSnapshotFileName, read_reason);
  if (content) return decode(*content, reason);
  if (read_reason.code == ReasonCode::kNotFound) return Snapshot{};
  reason = read_reason;
  return std::nullopt;
}

Awaitable<bool> SnapshotFile::write(Snapshot snapshot, Reason& reason) {
  co_return co_await storage_.write_atomically(kSnapshotFileName, encode(snapshot), reason);
}

std::string SnapshotFile::encode(const Snapshot& snapshot) { return make_record(wire::encode(snapshot), 0); }

std::optional<Snapshot> SnapshotFile::decode(const std::string& bytes, Reason& reason) {
  const auto record = read_record(bytes, 0);
  Reason ignored;
  auto snapshot = record ? wire::decode<Snapshot>(record->payload, ignored) : std::nullopt;
  if (snapshot) return snapshot;
  const auto newer = record ? wire::unreadable_format(record->payload) : std::nullopt;
  reason = Reason{
      newer ? ReasonCode::kUnsupported : ReasonCode::kCorrupt, "read_snapshot", "",
      fmt::format("{} at offset 0: {}", kSnapshotFileName, newer.value_or("invalid checksum or format"))};
  return snapshot;
}

}  // namespace cairnhollow::consensus
