// Stores the last message of each other control node and the time at which it was received.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "declared/control/news/news_messages.h"

namespace cairnhollow::declared::control {

struct Peer {
  PeerStatusMessage last_message;  ///< without its `groups`, `suspects` and `known_nodes`
  TimePoint heard_at{};
  [[nodiscard]] bool alive(TimePoint now) const;
};

/// Keeps every node that has ever sent a message; their number is small.
class PeerDirectory {
 public:
  void record_message(PeerStatusMessage message, TimePoint now);

  [[nodiscard]] std::optional<Peer> find(const NodeName& node) const;
  [[nodiscard]] const std::map<NodeName, Peer>& peers() const { return peers_; }
  [[nodiscard]] bool alive(const NodeName& node, TimePoint now) const;
  /// Returns the live peers that reach a majority of the group's members, by their last message.
  [[nodiscard]] std::vector<NodeName> able_to_monitor(const GroupName& group, TimePoint now) const;

 private:
  std::map<NodeName, Peer> peers_;
};

}  // namespace cairnhollow::declared::control
