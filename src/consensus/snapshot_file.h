// The latest snapshot on disk: the state machine's state, the last entry it covers and the configuration
// there.
#pragma once

#include <optional>
#include <string>

#include "consensus/configuration.h"
#include "consensus/log_file.h"
#include "runtime/storage.h"

namespace cairnhollow::consensus {

struct Snapshot {
  LogBase last;                 ///< the last entry covered
  Configuration configuration;  ///< in effect at that entry
  std::string state;            ///< from ReplicatedStateMachine::take_snapshot
  template <class Archive>
  void serialize(Archive& archive) {
    archive(last, configuration, state);
  }
};

class SnapshotFile {
 public:
  explicit SnapshotFile(runtime::Storage& storage) : storage_(storage) {}

  /// Returns an empty snapshot (last.index 0) if there is no file. Fails with kCorrupt if the file is
  /// damaged.
  std::optional<Snapshot> read(Reason& reason);
  /// Durably replaces the file.
  Awaitable<bool> write(Snapshot snapshot, Reason& reason);

  /// Encodes a snapshot for transfer to a follower: identical to the file, with its checksum.
  static std::string encode(const Snapshot& snapshot);
  /// Fails with kCorrupt if the checksum or the format is invalid, and with kUnsupported if a newer build
  /// wrote it.
  static std::optional<Snapshot> decode(const std::string& bytes, Reason& reason);

 private:
  runtime::Storage& storage_;
};

}  // namespace cairnhollow::consensus
