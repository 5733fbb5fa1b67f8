// The replicated log: entries in memory, made durable by flush(). Memory may be ahead of the disk, so no
// message that depends on an entry may be sent before flush() has returned.
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

  /// Reads the log from disk. See LogFile::recover for errors.
  bool recover(Reason& reason);

  [[nodiscard]] const LogBase& base() const { return base_; }
  [[nodiscard]] std::uint64_t last_index() const { return base_.index + entries_.size(); }
  [[nodiscard]] std::uint64_t last_term() const;
  /// Index of the last entry that is durable.
  [[nodiscard]] std::uint64_t durable_index() const { return durable_index_; }
  /// Returns the term of an entry or of the base, or std::nullopt if it is compacted or past the end.
  [[nodiscard]] std::optional<std::uint64_t> term_at(std::uint64_t index) const;
  /// Precondition: `index` is in (base().index, last_index()].
  [[nodiscard]] const LogEntry& at(std::uint64_t index) const { return entries_[index - base_.index - 1]; }
  /// Returns entries from `first` on, limited in number and bytes, but at least one if there is one.
  [[nodiscard]] std::vector<LogEntry> slice(std::uint64_t first, std::size_t max_entries,
                                            std::size_t max_bytes) const;

  /// Precondition: `entry.index` equals last_index() + 1.
  void append(LogEntry entry);
  void truncate_after(std::uint64_t index);
  /// Drops entries up to `index`, which must be covered by a durable snapshot.
  void compact_to(std::uint64_t index);
  /// Drops all entries; the log then starts after the last entry covered by a snapshot.
  void reset(LogBase base);

  /// Makes all changes made before the call durable. Concurrent callers share one write. After a failure
  /// every call fails until retry().
  Awaitable<bool> flush(Reason& reason) { return flushes_.flush(reason); }
  /// After a failed write: the next flush replaces the whole file with the in-memory contents. A file in
  /// which a write or sync has failed is never appended to again.
  void retry();

 private:
  Awaitable<bool> write_changes(Reason& reason);

  LogFile file_;
  FlushSequence flushes_;
  LogBase base_;
  std::deque<LogEntry> entries_;
  std::uint64_t durable_index_ = 0;
  std::uint64_t flush_target_ = 0;     ///< durable_index_ after the write in progress succeeds
  std::uint64_t first_unwritten_ = 1;  ///< first index at which the file differs from memory
  bool rewrite_ = false;               ///< the file must be replaced because its base has changed
};

}  // namespace cairnhollow::consensus
