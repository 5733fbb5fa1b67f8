// Sends this node's news to every other control node and takes theirs in.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "declared/control/news/news_directory.h"
#include "declared/control/news/news_messages.h"
#include "declared/control/news/peer_directory.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"
#include "wire/hello.h"

namespace cairnhollow::declared::control {

/// Keeps one outgoing connection to each other control node that it is told of, and opens it again when
/// it breaks. What it refers to outlives it; it lives until the process ends.
class NewsExchange {
 public:
  /// `describe` fills everything in a message but groups and suspects.
  NewsExchange(runtime::Runtime& runtime, wire::Hello hello, Endpoint self, NewsDirectory& directory,
               std::function<NewsMessage()> describe);

  /// Talks to the node at `endpoint` from now on (repeats are ignored). One that can't be reached for
  /// kUnreachablePeerKept is dropped until it is named again.
  void talk_to(const Endpoint& endpoint);
  /// Closes all connections and ends the loops.
  void stop();
  /// Takes in the messages of one incoming connection until it ends.
  Awaitable<void> serve(std::shared_ptr<runtime::FrameConnection> connection, wire::Hello hello);
  /// Tells all other control nodes at once of a proxy's suspicion.
  void spread_suspect(const follow::SuspectPrimary& suspect);

  /// Called for each suspicion that another control node passes on.
  void on_suspect(std::function<void(const follow::SuspectPrimary&)> callback) {
    on_suspect_ = std::move(callback);
  }
  [[nodiscard]] const PeerDirectory& peers() const { return peers_; }

 private:
  /// One other control node.
  struct Outgoing {
    Endpoint endpoint;
    std::shared_ptr<runtime::FrameConnection> connection;  ///< null while there is none
    std::uint64_t directory_version = 0;                   ///< sent up to here on this connection
    TimePoint acknowledged_at{};                           ///< when the other side last answered
    std::vector<follow::SuspectPrimary> suspects;          ///< to be sent
    std::vector<Endpoint> known_nodes_sent;                ///< on this connection
    TimePoint connected_at{};                              ///< when it was last connected, or named first
    wire::ClientHandshake greeting;
    bool refused = false;  ///< the other side speaks no protocol version that this node speaks
  };

  Awaitable<void> run(std::shared_ptr<Outgoing> outgoing);
  Awaitable<void> talk(std::shared_ptr<Outgoing> outgoing);
  Awaitable<bool> send_message(std::shared_ptr<Outgoing> outgoing);
  Awaitable<void> read_acknowledgements(std::shared_ptr<Outgoing> outgoing,
                                        std::shared_ptr<runtime::FrameConnection> connection);
  Awaitable<void> forward_directory_changes();
  void take_message(NewsMessage message);
  [[nodiscard]] std::vector<Endpoint> known_nodes() const;

  runtime::Runtime& runtime_;
  wire::Hello hello_;
  Endpoint self_;
  NewsDirectory& directory_;
  std::function<NewsMessage()> describe_;
  std::function<void(const follow::SuspectPrimary&)> on_suspect_;
  PeerDirectory peers_;
  std::map<Endpoint, std::shared_ptr<Outgoing>> outgoing_;
  std::map<std::uint64_t, std::shared_ptr<runtime::FrameConnection>> incoming_;  ///< by order of arrival
  std::uint64_t next_incoming_ = 1;
  runtime::Signal wake_;
  bool forwarding_ = false;
  bool stopping_ = false;
};

}  // namespace cairnhollow::declared::control
