// The follower's side of log replication (section 3.5) and snapshot transfer (section 5.3).
#pragma once

#include <optional>
#include <string>

#include "consensus/messages.h"
#include "consensus/raft_state.h"

namespace cairnhollow::consensus {

class LogReceiver {
 public:
  explicit LogReceiver(RaftState& state) : state_(state) {}

  /// Appends entries in memory. The caller must persist before answering, then call commit().
  AppendAnswer append(const NodeName& leader, std::uint64_t term, const AppendRequest& request);
  HeartbeatAnswer heartbeat(const NodeName& leader, std::uint64_t term, const HeartbeatRequest& request);
  /// Commits and applies up to the commit index received from the leader, as far as entries are durable here.
  void commit();
  /// Receives one chunk; the last chunk installs the snapshot.
  Awaitable<InstallSnapshotAnswer> install(NodeName leader, std::uint64_t term,
                                           InstallSnapshotRequest request);

 private:
  /// The chunks of a snapshot received so far.
  struct PartialSnapshot {
    LogBase last;
    std::string bytes;
  };

  bool accept_leader(const NodeName& leader, std::uint64_t term);
  [[nodiscard]] std::uint64_t next_index_after_conflict(const AppendRequest& request) const;
  void append_new_entries(const std::vector<LogEntry>& entries);
  void observe_commit_index(std::uint64_t index);

  RaftState& state_;
  std::optional<PartialSnapshot> partial_snapshot_;
  std::uint64_t known_commit_index_ =
      0;  ///< commit index received from the leader, limited to entries in this log; may not be durable yet
};

}  // namespace cairnhollow::consensus
