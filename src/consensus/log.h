// The replicated log: entries in memory, made durable by flush(). Memory runs ahead of the disk; nothing
// that depends on an entry may leave the node before flush() has returned.
#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "consensus/flush_sequence.h"
#include "consensus/log_file.h"

namespace cairnhollow::consensus {

class Log {
 public:
  explicit Log(runtime::Runtime& runtime)
      : file_(runtime.storage()),
        flushes_(runtime, [this](Reason& reason) { return write_changes(reason); }) {}
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  /// Reads what is on disk. Errors: see LogFile::recover.
  bool recover(Reason& reason);

  [[nodiscard]] const LogBase& base() const { return base_; }
  [[nodiscard]] std::uint64_t last_index() const { return base_.index + entries_.size(); }
  [[nodiscard]] std::uint64_t last_term() const;
  /// The last entry that survives a crash.
  [[nodiscard]] std::uint64_t durable_index() const { return durable_index_; }
  /// Term of an entry or of the base; empty when compacted away or beyond the end.
  [[nodiscard]] std::optional<std::uint64_t> term_at(std::uint64_t index) const;
  /// `index` is in (base().index, last_index()].
  [[nodiscard]] const LogEntry& at(std::uint64_t index) const { return entries_[index - base_.index - 1]; }
  /// Entries from `first` on, bounded in number and bytes, but at least one when there is one.
  [[nodiscard]] std::vector<LogEntry> slice(std::uint64_t first, std::size_t max_entries,
                                            std::size_t max_bytes) const;

  /// `entry.index` is last_index() + 1.
  void append(LogEntry entry);
  void truncate_after(std::uint64_t index);
  /// Drops entries up to `index`, which a durable snapshot covers.
  void compact_to(std::uint64_t index);
  /// Drops everything: the log starts behind a snapshot's last entry.
  void reset(LogBase base);

  /// Makes all changes made before the call durable. Callers share one write. After a failure every call
  /// fails until retry().
  Awaitable<bool> flush(Reason& reason) { return flushes_.flush(reason); }
  /// After a failed write: the next flush replaces the whole file by what memory holds. A file in which a
  /// write or a sync has failed is never appended to again.
  void retry();

 private:
  Awaitable<bool> write_changes(Reason& reason);

  LogFile file_;
  FlushSequence flushes_;
  LogBase base_;
  std::deque<LogEntry> entries_;
  std::uint64_t durable_index_ = 0;
  std::uint64_t flush_target_ = 0;     ///< durable_index_ once the write under way is done
  std::uint64_t first_unwritten_ = 1;  ///< first index that the file does not hold as memory does
  bool rewrite_ = false;               ///< the file must be replaced: its base has changed
};

}  // namespace cairnhollow::consensus
