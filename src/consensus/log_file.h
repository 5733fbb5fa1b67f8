// The on-disk log: a header record with the compacted base, one record per entry, and marks after synced
// entries.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "consensus/log_entry.h"
#include "consensus/record.h"
#include "runtime/storage.h"

namespace cairnhollow::consensus {

/// The last entry covered by a snapshot and removed from the log; index 0 if there is none.
struct LogBase {
  std::uint64_t index = 0;
  std::uint64_t term = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(index, term);
  }
};

struct RecoveredLog {
  LogBase base;
  std::vector<LogEntry> entries;
};

/// Not safe for concurrent operations; Log serializes them.
class LogFile {
 public:
  explicit LogFile(runtime::Storage& storage) : storage_(storage) {}

  /// Reads the file; a missing file is an empty log. A torn tail that was never synced is dropped. Fails with
  /// kCorrupt, naming file and offset, if synced bytes are damaged, and with kUnsupported if a newer build
  /// wrote an entry. The file is left unchanged on failure.
  std::optional<RecoveredLog> recover(Reason& reason);

  /// Durably replaces the whole file by `base` and `entries`.
  Awaitable<bool> rewrite(LogBase base, std::vector<LogEntry> entries, Reason& reason);

  /// Truncates the entries from `first_index` on, appends `entries`, and syncs. The truncation is synced
  /// before anything is appended, so that a crash never leaves old entries after new ones.
  Awaitable<bool> write_from(std::uint64_t first_index, std::vector<LogEntry> entries, Reason& reason);

  /// Index of the last entry in the file.
  [[nodiscard]] std::uint64_t last_index() const { return base_.index + entry_ends_.size(); }

 private:
  bool read_entries(const std::string& content, std::uint64_t offset, RecoveredLog& log, Reason& reason);
  bool read_header(const Record& header, RecoveredLog& log, Reason& reason);
  bool reopen(Reason& reason);
  Awaitable<bool> truncate_after(std::uint64_t index, Reason& reason);

  runtime::Storage& storage_;
  std::unique_ptr<runtime::AppendFile> file_;
  LogBase base_;
  std::uint64_t header_end_ = 0;
  std::deque<std::uint64_t> entry_ends_;  ///< end offset of each entry, from base_.index + 1 on
  std::uint64_t synced_size_ = 0;         ///< number of bytes of the file known to be durable
};

}  // namespace cairnhollow::consensus
