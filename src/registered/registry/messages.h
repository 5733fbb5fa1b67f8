// Messages between the processes of a registered fleet: from proxies and standby control nodes to the leader,
// and its responses.
#pragma once

#include <cereal/types/variant.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/reason.h"
#include "consensus/consensus.h"
#include "registered/registry/commands.h"
#include "registered/registry/delta.h"

namespace cairnhollow::registered::registry {

/// What a proxy acknowledged of a group's commits. Epochs alternate: a group is open in odd ones, closed in
/// even ones.
struct ClosedGroup {
  GroupName group;
  std::uint64_t epoch = 0;
  /// In a closed epoch: the proxy has stopped using the primary, and has acknowledged nothing beyond this
  /// position in any term. In an open epoch: it has acknowledged a commit at this position or after it.
  Position highest_acknowledged;
  [[nodiscard]] bool is_closed() const { return epoch % 2 == 0; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(group, epoch, highest_acknowledged);
  }
};

/// A statement to a primary failed in a way that suggests that the primary is down or unreachable.
struct PrimarySuspicion {
  GroupName group;
  BackendName backend;
  std::uint64_t term = 0;
  bool commits_stall = false;  ///< the primary responds, but commits do not complete
  bool unreachable = false;    ///< connections to it cannot be opened, or are closed before any response

  template <class Archive>
  void serialize(Archive& archive) {
    archive(group, backend, term, commits_stall, unreachable);
  }
};

/// Proxy to leader: requests a lease, and reports acknowledged commits, closed groups and suspected
/// primaries.
struct ProxyReport {
  std::uint64_t nonce = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t revision = 0;  ///< fleet revision that the proxy holds; 0: none
  /// all closed groups, and open epochs in which more was acknowledged since the last report
  std::vector<ClosedGroup> closed;
  std::vector<PrimarySuspicion> suspicions;
  bool draining = false;
  Endpoint peer_endpoint;  ///< endpoint for connections from other proxies

  template <class Archive>
  void serialize(Archive& archive) {
    archive(nonce, incarnation, revision, closed, suspicions, draining, peer_endpoint);
  }
};

/// Leader to proxy: a lease in response to a report, a state change, or both.
struct ProxyUpdate {
  std::uint64_t nonce = 0;  ///< nonce of the newest report that this answers; 0: unsolicited push
  Duration lease{0};        ///< counted from sending the report, on the proxy's clock; 0: no lease
  /// An encoded FleetDelta, compressed if the conversation is; empty: no changes. Encoded once for all
  /// proxies at the same revision.
  std::string delta;
  Duration report_interval{0};  ///< interval until the next report; grows with the number of proxies
  std::vector<Endpoint> control_endpoints;  ///< endpoints of the control nodes; empty: unchanged
  std::optional<Reason> refusal;            ///< kNotLeader names the leader's address as peer, where known
  /// Every proxy whose authority from control may still be valid holds at least this fleet revision; 0:
  /// unknown. Sent with each lease, and by itself when it advances.
  std::uint64_t stable_revision = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    auto lease_nanoseconds = lease.count();
    auto interval_nanoseconds = report_interval.count();
    archive(nonce, lease_nanoseconds, delta, interval_nanoseconds, control_endpoints, refusal);
    wire::since(archive, wire::kTenantsFormat, stable_revision, std::uint64_t{0});
    lease = Duration(lease_nanoseconds);
    report_interval = Duration(interval_nanoseconds);
  }
};

/// Control node to leader: a command to propose to the log.
struct SubmitCommand {
  Command command;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(command);
  }
};

/// Control node to leader, sent periodically: reports that the node is running, with its identity and
/// endpoint.
struct Presence {
  consensus::Member sender;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sender);
  }
};

/// Control node to leader: the sender is stopping and asks to be replaced as a voter. Answered without a
/// refusal once it has no vote; with kNotFound if no other control node could take it over.
struct ReleaseVote {
  consensus::Member sender;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sender);
  }
};

/// Control node to leader: the sender has never been a member of the consensus group, and offers to take over
/// the vote of a control node in its zone.
struct OfferVote {
  consensus::Member sender;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sender);
  }
};

struct ControlCall {
  std::uint64_t correlation = 0;
  /// A control node of a build before closes the connection on an alternative that it does not know.
  std::variant<SubmitCommand, Presence, ReleaseVote, OfferVote> body;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(correlation, body);
  }
};

struct ControlAnswer {
  std::uint64_t correlation = 0;
  std::optional<Reason> refusal;            ///< kNotLeader names the leader's address as peer, where known
  std::vector<Endpoint> control_endpoints;  ///< all control nodes known to the leader

  template <class Archive>
  void serialize(Archive& archive) {
    archive(correlation, refusal, control_endpoints);
  }
};

}  // namespace cairnhollow::registered::registry
