// Interfaces through which the operator service reads the rest of the control node, so that it can be tested
// without probes, followers or a platform.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "declared/control/operator/operator_service.h"

namespace cairnhollow::declared::control {

/// Status of the database groups.
class GroupStatusSource {
 public:
  virtual ~GroupStatusSource() = default;
  /// Returns every group known to this node, ordered by name. Member details are complete only for groups
  /// that this node probes.
  [[nodiscard]] virtual std::vector<GroupStatus> group_status() const = 0;
  /// Returns the machines that the platform lists as leaving, ordered by name.
  [[nodiscard]] virtual std::vector<std::string> leaving_machines() const = 0;
};

/// Status of another control node as of its last status message.
struct ControlPeerStatus {
  NodeName node;
  Endpoint operator_endpoint;                  ///< port 0 if unknown
  bool reachable = false;                      ///< heard from recently
  std::uint64_t revision = 0;                  ///< revision applied by the node as of its last message
  std::uint64_t followers_serving = 0;         ///< proxies that hold a lease granted by it
  std::uint64_t followers_least_revision = 0;  ///< lowest revision among those proxies
};

/// Status of this node's followers and of the other control nodes.
class FollowerStatusSource {
 public:
  virtual ~FollowerStatusSource() = default;
  /// Returns the proxies that follow this node, ordered by name; `control_node` is this node.
  [[nodiscard]] virtual std::vector<ProxyStatus> followers() const = 0;
  /// Returns the other control nodes, ordered by name, including those not heard from yet.
  [[nodiscard]] virtual std::vector<ControlPeerStatus> control_peers() const = 0;
  /// Time after a request was sent by which any lease granted for it has expired, on this node's clock.
  [[nodiscard]] virtual Duration longest_lease() const = 0;
};

/// The events recorded by this node.
class EventSource {
 public:
  virtual ~EventSource() = default;
  /// Returns the events with a number above `since`, oldest first, at most `limit`.
  [[nodiscard]] virtual std::vector<FleetEvent> events_since(std::uint64_t since,
                                                             std::uint32_t limit) const = 0;
  /// Records an event; the recorder fills in number, time and node.
  virtual void record(FleetEvent event) = 0;
};

/// Runs planned switchovers of a group's primary.
class SwitchoverExecutor {
 public:
  virtual ~SwitchoverExecutor() = default;
  /// Returns once the new primary serves. Errors: kNotFound: no such group, or `target` selects no member;
  /// kNoQuorum: no majority of the group answers; kDeadlineExceeded: the target did not catch up, and the old
  /// primary keeps its role; kOutcomeUnknown: the promotion was sent but not answered.
  virtual Awaitable<std::optional<SwitchoverOutcome>> switch_over(SwitchoverRequest request,
                                                                  TimePoint deadline, Reason& reason) = 0;
};

/// Readiness and metrics of the whole node.
class NodeHealthSource {
 public:
  virtual ~NodeHealthSource() = default;
  /// Returns false with `reason` while the node cannot take part (recovering, stopping).
  [[nodiscard]] virtual bool ready(Reason& reason) const = 0;
  /// Metrics in the Prometheus text format.
  [[nodiscard]] virtual std::string metrics_text() const = 0;
};

/// The sources of an operator service. Not owned; the referenced objects must outlive the service.
struct OperatorSources {
  GroupStatusSource& groups;
  FollowerStatusSource& followers;
  EventSource& events;
  SwitchoverExecutor& switchovers;
  NodeHealthSource& health;
};

}  // namespace cairnhollow::declared::control
