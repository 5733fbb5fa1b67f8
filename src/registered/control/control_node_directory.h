// The control nodes that this one knows of: members of the consensus group, those heard of lately, and seeds.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/types.h"
#include "consensus/consensus.h"

namespace cairnhollow::registered::control {

/// How often a control node tells the leader that it lives. Chosen, not measured.
inline constexpr Duration kPresenceInterval = std::chrono::milliseconds(400);
/// A control node that was not heard for this long, a little more than three intervals, is not alive. Chosen,
/// not measured.
inline constexpr Duration kPresenceLapse = std::chrono::milliseconds(1300);

/// A node's name in the consensus group is its address: addresses are all that seeds say.
inline NodeName consensus_name(const Endpoint& endpoint) { return NodeName(endpoint.address); }

class ControlNodeDirectory {
 public:
  ControlNodeDirectory(std::vector<Endpoint> seeds, const consensus::Consensus& consensus)
      : seeds_(std::move(seeds)), consensus_(consensus) {}

  void record_presence(const consensus::Member& member, TimePoint now) {
    presences_[member.node] = Presence{member, now};
  }
  /// Endpoints that a leader told of.
  void record_endpoints(const std::vector<Endpoint>& endpoints) {
    if (!endpoints.empty()) told_ = endpoints;
  }
  /// Who was heard within kPresenceLapse, by name.
  [[nodiscard]] std::optional<consensus::Member> alive(const NodeName& node, TimePoint now) const {
    const auto found = presences_.find(node);
    if (found == presences_.end() || now - found->second.heard_at > kPresenceLapse) return std::nullopt;
    return found->second.member;
  }
  [[nodiscard]] std::vector<consensus::Member> all_alive(TimePoint now) const;
  /// Every endpoint worth asking, each once: members first, then what was told, seeds last.
  [[nodiscard]] std::vector<Endpoint> endpoints() const;
  /// Members and nodes heard lately; what followers are told.
  [[nodiscard]] std::vector<Endpoint> serving_endpoints(TimePoint now) const;

 private:
  struct Presence {
    consensus::Member member;
    TimePoint heard_at{};
  };
  std::vector<Endpoint> seeds_;
  std::vector<Endpoint> told_;
  const consensus::Consensus& consensus_;
  std::map<NodeName, Presence> presences_;
};

}  // namespace cairnhollow::registered::control
