// Exchanges status messages with all other control nodes.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "declared/control/news/cluster_state_directory.h"
#include "declared/control/news/news_messages.h"
#include "declared/control/news/peer_directory.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"
#include "wire/hello.h"

namespace cairnhollow::declared::control {

/// Keeps one outgoing connection to each known control node and reconnects when it breaks. Objects passed by
/// reference must outlive this object, which must live until the process ends.
class PeerExchange {
 public:
  /// `describe` returns a message with all fields set except `groups`, `suspects` and `known_nodes`.
  PeerExchange(runtime::Runtime& runtime, wire::Hello hello, Endpoint self, ClusterStateDirectory& directory,
               std::function<PeerStatusMessage()> describe);

  /// Adds the node at `endpoint` as a peer; no effect if it is already known or is this node. A peer that is
  /// unreachable for kUnreachablePeerRetention is dropped until it is added again.
  void add_peer(const Endpoint& endpoint);
  /// Closes all connections and ends the coroutines.
  void stop();
  /// Processes the messages of an incoming connection until it closes. Closes it if a message names a sender
  /// other than the node in `hello`.
  Awaitable<void> serve(std::shared_ptr<runtime::FrameConnection> connection, wire::Hello hello);
  /// Forwards a suspicion reported by a proxy to all connected peers immediately.
  void forward_suspicion(const follow::SuspectPrimary& suspect);

  /// `callback` is called for each suspicion received from another control node.
  void on_suspect(std::function<void(const follow::SuspectPrimary&)> callback) {
    on_suspect_ = std::move(callback);
  }
  [[nodiscard]] const PeerDirectory& peers() const { return peers_; }

 private:
  /// State of the outgoing connection to one peer.
  struct Outgoing {
    Endpoint endpoint;
    std::shared_ptr<runtime::FrameConnection> connection;  ///< null while disconnected
    std::uint64_t directory_version = 0;                   ///< directory version sent on this connection
    TimePoint acknowledged_at{};                   ///< time of the last acknowledgement on this connection
    std::vector<follow::SuspectPrimary> suspects;  ///< suspicions waiting to be sent
    std::vector<Endpoint> known_nodes_sent;        ///< known nodes last sent on this connection
    TimePoint connected_at{};                      ///< when the peer was last connected, or when it was added
    wire::ClientHandshake greeting;
    bool refused = false;  ///< the peer supports no protocol version of this node
  };

  Awaitable<void> run(std::shared_ptr<Outgoing> outgoing);
  Awaitable<void> send_messages(std::shared_ptr<Outgoing> outgoing);
  Awaitable<bool> send_message(std::shared_ptr<Outgoing> outgoing);
  Awaitable<void> read_acknowledgements(std::shared_ptr<Outgoing> outgoing,
                                        std::shared_ptr<runtime::FrameConnection> connection);
  Awaitable<void> forward_directory_changes();
  void handle_message(PeerStatusMessage message);
  [[nodiscard]] std::vector<Endpoint> known_nodes() const;

  runtime::Runtime& runtime_;
  wire::Hello hello_;
  Endpoint self_;
  ClusterStateDirectory& directory_;
  std::function<PeerStatusMessage()> describe_;
  std::function<void(const follow::SuspectPrimary&)> on_suspect_;
  PeerDirectory peers_;
  std::map<Endpoint, std::shared_ptr<Outgoing>> outgoing_;
  std::map<std::uint64_t, std::shared_ptr<runtime::FrameConnection>> incoming_;  ///< by order of acceptance
  std::uint64_t next_incoming_ = 1;
  runtime::Signal wake_;
  bool forwarding_ = false;
  bool stopping_ = false;
};

}  // namespace cairnhollow::declared::control
