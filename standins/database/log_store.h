// The durable log of one member, with the snapshot that stands for its compacted beginning.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/reason.h"
#include "base/types.h"
#include "runtime/runtime.h"
#include "standins/database/async_lock.h"
#include "standins/database/log_entry.h"
#include "standins/database/tunables.h"

namespace cairnhollow::standins::database {

/// The state after the entry at `position`.
struct Snapshot {
  Position position;
  std::string state;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(position, state);
  }
};

/// Indexes run without gaps from snapshot().position.index + 1 to last().index. After a storage failure
/// nothing is taken any more: what the file holds is then unknown until a restart.
class LogStore {
 public:
  /// Both arguments outlive the store.
  LogStore(runtime::Runtime& runtime, const Tunables& tunables);

  /// False with kCorrupt (naming file and offset) or kStorage when the files can't be trusted.
  Awaitable<bool> load(Reason& reason);

  /// Takes the entry after last(); durable after the next sync().
  void append(LogEntry entry);
  /// Makes everything appended so far durable. Calls made while one is at work share the next write
  /// (group commit).
  Awaitable<bool> sync(Reason& reason);
  /// Removes, durably, the entries behind `index`. Nothing is appended meanwhile.
  Awaitable<bool> cut_after(std::uint64_t index, Reason& reason);
  /// Keeps `snapshot` in place of the entries up to its position, which the log holds.
  Awaitable<bool> compact(Snapshot snapshot, Reason& reason);
  /// Keeps `snapshot` in place of the whole log. Nothing is appended meanwhile.
  Awaitable<bool> install(Snapshot snapshot, Reason& reason);

  [[nodiscard]] Position last() const;
  [[nodiscard]] Position durable() const { return durable_; }
  [[nodiscard]] const Snapshot& snapshot() const { return snapshot_; }
  [[nodiscard]] bool failed() const { return failed_; }
  /// Empty when the log does not hold `index` (the snapshot's own position counts as held).
  [[nodiscard]] std::optional<std::uint64_t> term_at(std::uint64_t index) const;
  /// `index` is held as an entry.
  [[nodiscard]] const LogEntry& entry(std::uint64_t index) const;
  [[nodiscard]] std::vector<LogEntry> entries_after(std::uint64_t index, std::size_t most) const;
  /// The last position of each term held, latest first, `most` of them; the snapshot's position counts.
  [[nodiscard]] std::vector<Position> term_ends(std::size_t most) const;

 private:
  bool load_snapshot(Reason& reason);
  bool load_entries(const std::string& bytes, std::uint64_t& valid_size, Reason& reason);
  Awaitable<bool> flush(Reason& reason);
  Awaitable<bool> rewrite(Snapshot snapshot, bool keep_entries, Reason& reason);
  Awaitable<void> wait_for_slow_disk();
  bool check_not_failed(Reason& reason) const;

  runtime::Runtime& runtime_;
  const Tunables& tunables_;
  AsyncLock file_lock_;  ///< held around every file operation
  std::unique_ptr<runtime::AppendFile> file_;
  Snapshot snapshot_;
  std::deque<LogEntry> entries_;
  std::deque<std::uint64_t> ends_;  ///< file offset behind each entry
  std::string unwritten_;           ///< framed records not yet handed to the file
  std::uint64_t written_size_ = 0;  ///< bytes handed to the file
  std::uint64_t appends_ = 0;       ///< entries appended since the start
  std::uint64_t appends_synced_ = 0;
  Position durable_;
  bool failed_ = false;
};

}  // namespace cairnhollow::standins::database
