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
  std::vector<Member> initial_members;  ///< used once, with an empty data folder; empty: wait to be added
  ZoneName zone;
  Endpoint endpoint;
  Duration election_timeout = std::chrono::milliseconds(300);  ///< lower bound; the upper is twice this
  /// As election_timeout, until a leader was heard since the start: after a common restart nobody leads, and
  /// a pre-vote disturbs nobody if somebody does. 0: election_timeout.
  Duration first_election_timeout{0};
  Duration heartbeat_interval = std::chrono::milliseconds(50);
  std::uint64_t snapshot_after_entries = 1000;
};

/// A Consensus whose connections the owner accepts: the control node's listener hands over each
/// connection whose Hello asked for Conversation::kConsensus.
class RaftNode : public Consensus {
 public:
  /// Recovers from the data folder and starts its loops.
  virtual Awaitable<bool> start(Reason& reason) = 0;
  /// Serves one incoming peer connection until it ends.
  virtual Awaitable<void> serve(std::shared_ptr<runtime::FrameConnection> connection, NodeName peer) = 0;
  /// Ends all loops; hands leadership over first where it can (section 3.10).
  virtual Awaitable<void> stop() = 0;
  /// The identity made when this data folder was first used.
  [[nodiscard]] virtual std::string identity() const = 0;
};

/// `state_machine` and `runtime` outlive the node.
std::unique_ptr<RaftNode> make_raft_node(runtime::Runtime& runtime, ReplicatedStateMachine& state_machine,
                                         RaftSettings settings);

}  // namespace cairnhollow::consensus
