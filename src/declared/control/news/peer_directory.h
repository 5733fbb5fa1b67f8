// The other control nodes as their news messages tell of them.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "declared/control/news/news_messages.h"

namespace cairnhollow::declared::control {

struct Peer {
  NewsMessage last_message;  ///< its `groups`, `suspects` and `known_nodes` are taken out
  TimePoint heard_at{};
  [[nodiscard]] bool alive(TimePoint now) const;
};

/// Knows a node from its first message on; forgets none, since they are few.
class PeerDirectory {
 public:
  void record_message(NewsMessage message, TimePoint now);

  [[nodiscard]] std::optional<Peer> find(const NodeName& node) const;
  [[nodiscard]] const std::map<NodeName, Peer>& peers() const { return peers_; }
  [[nodiscard]] bool alive(const NodeName& node, TimePoint now) const;
  /// Peers heard lately that say they reach a majority of the group's members.
  [[nodiscard]] std::vector<NodeName> able_to_monitor(const GroupName& group, TimePoint now) const;

 private:
  std::map<NodeName, Peer> peers_;
};

}  // namespace cairnhollow::declared::control
