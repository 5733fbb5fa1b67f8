#include "standins/database/log_store.h"

#include <fmt/format.h>

#include <algorithm>

#include "standins/database/log_file.h"
#include "wire/codec.h"

namespace cairnhollow::standins::database {

namespace {

constexpr const char* kLogFile = "log";
constexpr const char* kSnapshotFile = "snapshot";

}  // namespace

LogStore::LogStore(runtime::Runtime& runtime, const Tunables& tunables)
    : runtime_(runtime), tunables_(tunables), file_lock_(runtime) {}

Awaitable<bool> LogStore::load(Reason& reason) {
  if (!load_snapshot(reason)) co_return false;
  Reason missing;
  const auto bytes = runtime_.storage().read(kLogFile, missing);
  if (!bytes && missing.code != ReasonCode::kNotFound) {
    reason = missing;
    co_return false;
  }
  std::uint64_t valid_size = 0;
  if (bytes && !load_entries(*bytes, valid_size, reason)) co_return false;
  file_ = runtime_.storage().open(kLogFile, reason);
  if (!file_) co_return false;
  if (file_->size() > valid_size && !file_->truncate(valid_size, reason)) co_return false;
  const bool synced = co_await file_->sync(reason);
  written_size_ = valid_size;
  durable_ = last();
  co_return synced;
}

bool LogStore::load_snapshot(Reason& reason) {
  Reason missing;
  const auto bytes = runtime_.storage().read(kSnapshotFile, missing);
  if (!bytes) {
    if (missing.code == ReasonCode::kNotFound) return true;
    reason = missing;
    return false;
  }
  const auto record = recover_records(kSnapshotFile, *bytes, reason);
  if (!record) return false;
  if (record->records.size() != 1 || record->valid_size != bytes->size()) {
    reason = Reason{ReasonCode::kCorrupt, "load_snapshot", "", "snapshot is damaged at offset 0"};
    return false;
  }
  auto snapshot = wire::decode<Snapshot>(record->records.front().payload, reason);
  if (!snapshot) {
    reason.detail = fmt::format("{} at offset 0: {}", kSnapshotFile, reason.detail);
    return false;
  }
  snapshot_ = std::move(*snapshot);
  return true;
}

bool LogStore::load_entries(const std::string& bytes, std::uint64_t& valid_size, Reason& reason) {
  const auto log = recover_records(kLogFile, bytes, reason);
  if (!log) return false;
  const auto base = snapshot_.position;
  for (const auto& record : log->records) {
    auto entry = wire::decode<LogEntry>(record.payload, reason);
    if (!entry) {
      reason.detail =
          fmt::format("{}, record that ends at offset {}: {}", kLogFile, record.end, reason.detail);
      return false;
    }
    const auto position = entry->position;
    // A crash between a snapshot and the log's rewriting leaves older entries. When they disagree with
    // the snapshot, which is of committed entries only, the rest of the log is an uncommitted tail.
    if (position.index == base.index && position.term != base.term) return true;
    if (position.index > base.index) {
      if (position.index != last().index + 1 || position.term < last().term) {
        reason = Reason{ReasonCode::kCorrupt, "load_log", "",
                        fmt::format("{}: entry {} does not follow entry {} (record ends at offset {})",
                                    kLogFile, position.index, last().index, record.end)};
        return false;
      }
      entries_.push_back(std::move(*entry));
      ends_.push_back(record.end);
    }
    valid_size = record.end;
  }
  return true;
}

void LogStore::append(LogEntry entry) {
  unwritten_ += frame_record(wire::encode(entry));
  entries_.push_back(std::move(entry));
  ends_.push_back(written_size_ + unwritten_.size());
  ++appends_;
}

Awaitable<bool> LogStore::sync(Reason& reason) {
  const auto wanted = appends_;
  co_await file_lock_.acquire();
  bool synced = check_not_failed(reason);
  if (synced && appends_synced_ < wanted) synced = co_await flush(reason);
  file_lock_.release();
  co_return synced;
}

Awaitable<bool> LogStore::flush(Reason& reason) {
  co_await wait_for_slow_disk();
  const auto appends = appends_;
  const auto position = last();
  const auto bytes = std::move(unwritten_);
  unwritten_.clear();
  written_size_ += bytes.size();
  bool done = file_->append(bytes, reason);
  if (done) done = co_await file_->sync(reason);
  if (!done) {
    failed_ = true;
    co_return false;
  }
  appends_synced_ = appends;
  durable_ = position;
  co_return true;
}

Awaitable<bool> LogStore::cut_after(std::uint64_t index, Reason& reason) {
  co_await file_lock_.acquire();
  bool done = check_not_failed(reason);
  if (done && !unwritten_.empty()) done = co_await flush(reason);
  if (done && index < last().index) {
    const auto kept = index - std::min(index, snapshot_.position.index);
    entries_.resize(kept);
    ends_.resize(kept);
    co_await wait_for_slow_disk();
    written_size_ = ends_.empty() ? 0 : ends_.back();
    done = file_->truncate(written_size_, reason);
    if (done) done = co_await file_->sync(reason);
    failed_ = !done;
    durable_ = last();
  }
  file_lock_.release();
  co_return done;
}

Awaitable<bool> LogStore::compact(Snapshot snapshot, Reason& reason) {
  co_await file_lock_.acquire();
  bool done = check_not_failed(reason);
  if (done && snapshot.position.index > snapshot_.position.index) {
    done = co_await rewrite(std::move(snapshot), true, reason);
  }
  file_lock_.release();
  co_return done;
}

Awaitable<bool> LogStore::install(Snapshot snapshot, Reason& reason) {
  co_await file_lock_.acquire();
  bool done = check_not_failed(reason);
  if (done) done = co_await rewrite(std::move(snapshot), false, reason);
  file_lock_.release();
  co_return done;
}

/// The snapshot is durable before the log loses an entry; load() understands a crash in between.
Awaitable<bool> LogStore::rewrite(Snapshot snapshot, bool keep_entries, Reason& reason) {
  co_await wait_for_slow_disk();
  const auto image = frame_record(wire::encode(snapshot));
  bool done = co_await runtime_.storage().write_atomically(kSnapshotFile, image, reason);
  if (done) {
    if (!keep_entries) entries_.clear();
    while (!entries_.empty() && entries_.front().position.index <= snapshot.position.index) {
      entries_.pop_front();
    }
    snapshot_ = std::move(snapshot);
    ends_.clear();
    std::string content;
    for (const auto& entry : entries_) {
      content += frame_record(wire::encode(entry));
      ends_.push_back(content.size());
    }
    unwritten_.clear();
    const auto appends = appends_;
    const auto position = last();
    written_size_ = content.size();
    file_.reset();
    done = co_await runtime_.storage().write_atomically(kLogFile, std::move(content), reason);
    if (done) {
      file_ = runtime_.storage().open(kLogFile, reason);
      done = file_ != nullptr;
    }
    if (done) {
      appends_synced_ = appends;
      durable_ = position;
    }
  }
  failed_ = failed_ || !done;
  co_return done;
}

Awaitable<void> LogStore::wait_for_slow_disk() {
  if (tunables_.disk_delay > Duration(0)) co_await runtime_.sleep_for(tunables_.disk_delay);
}

bool LogStore::check_not_failed(Reason& reason) const {
  if (failed_) reason = Reason{ReasonCode::kStorage, "write_log", "", "an earlier write failed"};
  return !failed_;
}

Position LogStore::last() const { return entries_.empty() ? snapshot_.position : entries_.back().position; }

std::optional<std::uint64_t> LogStore::term_at(std::uint64_t index) const {
  if (index == snapshot_.position.index) return snapshot_.position.term;
  if (index < snapshot_.position.index || index > last().index) return std::nullopt;
  return entry(index).position.term;
}

const LogEntry& LogStore::entry(std::uint64_t index) const {
  return entries_[index - snapshot_.position.index - 1];
}

std::vector<LogEntry> LogStore::entries_after(std::uint64_t index, std::size_t most) const {
  const auto first = entries_.begin() + static_cast<std::ptrdiff_t>(index - snapshot_.position.index);
  const auto available = static_cast<std::size_t>(entries_.end() - first);
  return {first, first + static_cast<std::ptrdiff_t>(std::min(available, most))};
}

std::vector<Position> LogStore::term_ends(std::size_t most) const {
  std::vector<Position> ends;
  auto add = [&ends, most](const Position& position) {
    const bool new_term = ends.empty() || ends.back().term != position.term;
    if (new_term && ends.size() < most) ends.push_back(position);
  };
  for (auto entry = entries_.rbegin(); entry != entries_.rend() && ends.size() < most; ++entry) {
    add(entry->position);
  }
  add(snapshot_.position);
  return ends;
}

}  // namespace cairnhollow::standins::database
