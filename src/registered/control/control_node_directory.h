// Directory of known control nodes: consensus members, recently seen nodes and configured seeds.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/types.h"
#include "consensus/consensus.h"

namespace cairnhollow::registered::control {

/// Interval at which a control node reports its presence to the leader.
inline constexpr Duration kPresenceInterval = std::chrono::milliseconds(400);
/// A control node is considered offline when no presence report arrived for this long: slightly more than
/// three intervals.
inline constexpr Duration kPresenceTimeout = std::chrono::milliseconds(1300);

/// A node's name in the consensus group is its address, because seeds are configured by address only.
inline NodeName consensus_name(const Endpoint& endpoint) { return NodeName(endpoint.address); }

class ControlNodeDirectory {
 public:
  ControlNodeDirectory(std::vector<Endpoint> seeds, const consensus::Consensus& consensus)
      : seeds_(std::move(seeds)), consensus_(consensus) {}

  void record_presence(const consensus::Member& member, TimePoint now) {
    const auto stopping = stopping_since_.find(member.node);
    // A report that was under way when the node asked for its replacement.
    if (stopping != stopping_since_.end() && now - stopping->second < kPresenceInterval) return;
    stopping_since_.erase(member.node);
    presences_[member.node] = Presence{member, now};
  }
  /// The node is stopping. It counts as offline until its next process reports its presence.
  void record_stopping(const NodeName& node, TimePoint now) {
    stopping_since_[node] = now;
    presences_.erase(node);
  }
  /// Replaces the endpoints advertised by the leader. An empty list is ignored.
  void record_endpoints(const std::vector<Endpoint>& endpoints) {
    if (!endpoints.empty()) advertised_ = endpoints;
  }
  /// Returns std::nullopt if the node sent no presence report within kPresenceTimeout.
  [[nodiscard]] std::optional<consensus::Member> alive(const NodeName& node, TimePoint now) const {
    const auto found = presences_.find(node);
    if (found == presences_.end() || now - found->second.received_at > kPresenceTimeout) return std::nullopt;
    return found->second.member;
  }
  [[nodiscard]] std::vector<consensus::Member> alive_members(TimePoint now) const;
  /// All candidate endpoints without duplicates: consensus members first, then advertised endpoints, then
  /// seeds.
  [[nodiscard]] std::vector<Endpoint> endpoints() const;
  /// Consensus members and live control nodes, as advertised to followers.
  [[nodiscard]] std::vector<Endpoint> serving_endpoints(TimePoint now) const;

 private:
  struct Presence {
    consensus::Member member;
    TimePoint received_at{};
  };
  std::vector<Endpoint> seeds_;
  std::vector<Endpoint> advertised_;
  const consensus::Consensus& consensus_;
  std::map<NodeName, Presence> presences_;
  std::map<NodeName, TimePoint> stopping_since_;
};

}  // namespace cairnhollow::registered::control
