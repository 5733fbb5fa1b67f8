// What a registered fleet's processes say to each other: proxies and standing-by control nodes to the leader.
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

/// A proxy has stopped using the primary of a closed group and acknowledges nothing of it any more.
struct ClosedGroup {
  GroupName group;
  std::uint64_t epoch = 0;        ///< of the close
  Position highest_acknowledged;  ///< in any term, by this incarnation of the proxy

  template <class Archive>
  void serialize(Archive& archive) {
    archive(group, epoch, highest_acknowledged);
  }
};

/// A statement to a primary failed in a way that a dead or cut-off one explains.
struct PrimarySuspicion {
  GroupName group;
  BackendName backend;
  std::uint64_t term = 0;
  bool commits_stall = false;  ///< it answers, but commits do not
  bool unreachable = false;    ///< no connection to it can be opened, or it breaks off all that it is sent

  template <class Archive>
  void serialize(Archive& archive) {
    archive(group, backend, term, commits_stall, unreachable);
  }
};

/// Proxy to leader. Asks for a lease, and answers closes.
struct ProxyReport {
  std::uint64_t nonce = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t revision = 0;  ///< that the proxy holds; 0: nothing
  std::vector<ClosedGroup> closed;
  std::vector<PrimarySuspicion> suspicions;
  bool draining = false;
  Endpoint peer_endpoint;  ///< where other proxies reach this one

  template <class Archive>
  void serialize(Archive& archive) {
    archive(nonce, incarnation, revision, closed, suspicions, draining, peer_endpoint);
  }
};

/// Leader to proxy: a lease (an answer to a report), a change, or both.
struct ProxyUpdate {
  std::uint64_t nonce = 0;  ///< of the newest report that this answers; 0: pushed unasked
  Duration lease{0};        ///< from the moment of asking, on the proxy's clock; 0: none
  /// An encoded FleetDelta, compressed where the conversation is; empty: nothing changed. Encoded once for
  /// all who lack the same.
  std::string delta;
  Duration report_interval{0};  ///< in which the proxy is to ask again; grows with the number of proxies
  std::vector<Endpoint> control_endpoints;  ///< where control nodes are; empty: as before
  std::optional<Reason> refusal;            ///< kNotLeader names the leader's address as peer, where known
  /// Every proxy that may act on what control confirmed holds this revision or a later one; 0: not known.
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

/// Control node to leader: a command to put into the log.
struct SubmitCommand {
  Command command;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(command);
  }
};

/// Control node to leader, again and again: it lives, under this identity, at this endpoint.
struct Presence {
  consensus::Member sender;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sender);
  }
};

struct ControlCall {
  std::uint64_t correlation = 0;
  std::variant<SubmitCommand, Presence> body;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(correlation, body);
  }
};

struct ControlAnswer {
  std::uint64_t correlation = 0;
  std::optional<Reason> refusal;            ///< kNotLeader names the leader's address as peer, where known
  std::vector<Endpoint> control_endpoints;  ///< of all control nodes that the leader knows

  template <class Archive>
  void serialize(Archive& archive) {
    archive(correlation, refusal, control_endpoints);
  }
};

}  // namespace cairnhollow::registered::registry
