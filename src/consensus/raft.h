// Creates the Raft implementation of Consensus.
#pragma once

#include <memory>
#include <string>

#include "consensus/consensus.h"
#include "runtime/network.h"
#include "runtime/runtime.h"

namespace cairnhollow::consensus {

struct RaftSettings {
  NodeName node;
  std::vector<Member>
      initial_members;  ///< used only with an empty data folder; if empty, the node waits to be added
  ZoneName zone;
  Endpoint endpoint;
  Duration election_timeout = std::chrono::milliseconds(300);  ///< lower bound; the upper bound is twice this
  /// Election timeout until a leader has been heard from since the start. May be shorter, since after a
  /// restart of the whole group there is no leader, and a pre-vote does not disturb an existing one. 0: use
  /// election_timeout.
  Duration first_election_timeout{0};
  Duration heartbeat_interval = std::chrono::milliseconds(50);
  std::uint64_t snapshot_after_entries = 1000;
};

/// A Consensus whose peer connections are accepted by its owner: the control node's listener passes on each
/// connection whose Hello requested Conversation::kConsensus.
class RaftNode : public Consensus {
 public:
  /// Recovers from the data folder and starts the node's loops.
  virtual Awaitable<bool> start(Reason& reason) = 0;
  /// Serves one incoming peer connection until it ends.
  virtual Awaitable<void> serve(std::shared_ptr<runtime::FrameConnection> connection, NodeName peer) = 0;
  /// Ends all loops, after transferring leadership if possible (section 3.10).
  virtual Awaitable<void> stop() = 0;
  /// The identity generated when this data folder was first used.
  [[nodiscard]] virtual std::string identity() const = 0;
};

/// `runtime` and `state_machine` must outlive the node.
std::unique_ptr<RaftNode> make_raft_node(runtime::Runtime& runtime, ReplicatedStateMachine& state_machine,
                                         RaftSettings settings);

}  // namespace cairnhollow::consensus
