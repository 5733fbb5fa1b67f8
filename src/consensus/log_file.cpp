#include "consensus/log_file.h"

#include <fmt/format.h>

namespace cairnhollow::consensus {
namespace {

constexpr const char* kLogFileName = "raft.log";

Reason corrupt(std::uint64_t offset, std::string_view what) {
  return Reason{ReasonCode::kCorrupt, "recover_log", "",
                fmt::format("{} at offset {}: {}", kLogFileName, offset, what)};
}

/// Returns a reason if a newer build wrote the record or the command in it.
std::optional<Reason> newer_build_reason(std::uint64_t offset, const std::string& bytes) {
  const auto unreadable = wire::unreadable_format(bytes);
  if (!unreadable) return std::nullopt;
  return Reason{ReasonCode::kUnsupported, "recover_log", "",
                fmt::format("{} at offset {}: {}", kLogFileName, offset, *unreadable)};
}

/// Makes a record without an entry, written after entries that are synced and made durable by the next sync.
/// If it survives, damage to the preceding entries is known not to be a torn tail.
std::string make_sync_mark(std::uint64_t synced_size) { return make_record("", synced_size); }
bool is_sync_mark(const Record& record) { return record.payload.empty(); }

/// Returns whether a record after `offset` proves that the bytes at `offset` had been synced, so that damage
/// there is not a torn tail.
bool was_synced(const std::string& content, std::uint64_t offset) {
  for (auto later = find_record(content, offset); later; later = find_record(content, later->end)) {
    if (later->synced_size > offset) return true;
  }
  return false;
}

}  // namespace

std::optional<RecoveredLog> LogFile::recover(Reason& reason) {
  Reason read_reason;
  const auto content = storage_.read(kLogFileName, read_reason);
  if (!content && read_reason.code == ReasonCode::kNotFound) return RecoveredLog{};
  if (!content) {
    reason = read_reason;
    return std::nullopt;
  }
  const auto header = read_record(*content, 0);
  if (!header) {
    reason = corrupt(0, "the log header is damaged");
    return std::nullopt;
  }
  RecoveredLog log;
  if (!read_header(*header, log, reason)) return std::nullopt;
  if (!read_entries(*content, header->end, log, reason)) return std::nullopt;
  if (!reopen(reason)) return std::nullopt;
  const std::uint64_t whole_size = entry_ends_.empty() ? header_end_ : entry_ends_.back();
  if (file_->size() > whole_size && !file_->truncate(whole_size, reason)) return std::nullopt;
  // The file contents may still be only in the page cache; they count as synced after the next sync.
  synced_size_ = header_end_;
  return log;
}

bool LogFile::read_header(const Record& header, RecoveredLog& log, Reason& reason) {
  const auto newer = newer_build_reason(header.offset, header.payload);
  Reason ignored;
  const auto base = wire::decode<LogBase>(header.payload, ignored);
  if (!base) {
    reason = newer ? *newer : corrupt(header.offset, "the log header is damaged");
    return false;
  }
  log.base = base_ = *base;
  header_end_ = header.end;
  return true;
}

bool LogFile::read_entries(const std::string& content, std::uint64_t offset, RecoveredLog& log,
                           Reason& reason) {
  while (const auto record = read_record(content, offset)) {
    if (is_sync_mark(*record)) {
      offset = record->end;
      continue;
    }
    Reason ignored;
    auto entry = wire::decode<LogEntry>(record->payload, ignored);
    if (const auto newer = newer_build_reason(offset, entry ? entry->payload : record->payload)) {
      reason = *newer;
      return false;
    }
    if (!entry || entry->index != last_index() + 1) {
      reason = corrupt(offset, "the entry is invalid or does not follow the previous index");
      return false;
    }
    log.entries.push_back(std::move(*entry));
    entry_ends_.push_back(record->end);
    offset = record->end;
  }
  if (offset == content.size() || !was_synced(content, offset)) return true;
  reason = corrupt(offset, "an entry that had been synced is damaged");
  return false;
}

bool LogFile::reopen(Reason& reason) {
  file_ = storage_.open(kLogFileName, reason);
  return file_ != nullptr;
}

Awaitable<bool> LogFile::rewrite(LogBase base, std::vector<LogEntry> entries, Reason& reason) {
  file_.reset();
  std::string content = make_record(wire::encode(base), 0);
  base_ = base;
  header_end_ = content.size();
  entry_ends_.clear();
  for (const LogEntry& entry : entries) {
    content += make_record(wire::encode(entry), content.size());  // the file becomes durable as a whole
    entry_ends_.push_back(content.size());
  }
  content += make_sync_mark(content.size());
  const std::uint64_t size = content.size();
  const bool written = co_await storage_.write_atomically(kLogFileName, std::move(content), reason);
  if (!written) co_return false;
  synced_size_ = size;
  co_return reopen(reason);
}

Awaitable<bool> LogFile::write_from(std::uint64_t first_index, std::vector<LogEntry> entries,
                                    Reason& reason) {
  if (last_index() >= first_index) {
    const bool truncated = co_await truncate_after(first_index - 1, reason);
    if (!truncated) co_return false;
  }
  std::string bytes;
  const std::uint64_t size = file_->size();
  for (const LogEntry& entry : entries) {
    bytes += make_record(wire::encode(entry), synced_size_);
    entry_ends_.push_back(size + bytes.size());
  }
  if (!file_->append(bytes, reason)) co_return false;
  const std::uint64_t appended_size = file_->size();
  const bool synced = co_await file_->sync(reason);
  if (!synced) co_return false;
  synced_size_ = appended_size;
  co_return file_->append(make_sync_mark(synced_size_), reason);
}

Awaitable<bool> LogFile::truncate_after(std::uint64_t index, Reason& reason) {
  entry_ends_.resize(index - base_.index);
  const std::uint64_t size = entry_ends_.empty() ? header_end_ : entry_ends_.back();
  if (!file_->truncate(size, reason)) co_return false;
  const bool synced = co_await file_->sync(reason);
  if (synced) synced_size_ = size;
  co_return synced;
}

}  // namespace cairnhollow::consensus
