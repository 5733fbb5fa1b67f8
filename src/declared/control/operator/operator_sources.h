// What the operator service asks of the rest of the control node. Each is one small interface, so that the
// service can be tested without probes, followers or a platform.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "declared/control/operator/operator_service.h"

namespace cairnhollow::declared::control {

/// How the database groups stand.
class GroupStatusSource {
 public:
  virtual ~GroupStatusSource() = default;
  /// Every group that this node knows of, by name. Members are known in full only for groups that it probes.
  [[nodiscard]] virtual std::vector<GroupStatus> group_status() const = 0;
  /// Machines that the platform lists as leaving, by name.
  [[nodiscard]] virtual std::vector<std::string> leaving_machines() const = 0;
};

/// What the news exchange knows of another control node.
struct ControlPeerStatus {
  NodeName node;
  Endpoint operator_endpoint;                  ///< port 0 while unknown
  bool reachable = false;                      ///< heard lately
  std::uint64_t revision = 0;                  ///< applied at it, as of its last message
  std::uint64_t followers_serving = 0;         ///< proxies with a lease given by it
  std::uint64_t followers_least_revision = 0;  ///< over those
};

/// Who follows the control nodes, and how far the configuration has spread among them.
class FollowerStatusSource {
 public:
  virtual ~FollowerStatusSource() = default;
  /// The proxies that follow this node, by name; `control_node` is this node.
  [[nodiscard]] virtual std::vector<ProxyStatus> followers() const = 0;
  /// The other control nodes, by name, those included that have not been heard yet.
  [[nodiscard]] virtual std::vector<ControlPeerStatus> control_peers() const = 0;
  /// A serving lease that any control node gave has lapsed this long after its question was asked, on this
  /// node's clock.
  [[nodiscard]] virtual Duration longest_lease() const = 0;
};

/// The events that this node has recorded.
class EventSource {
 public:
  virtual ~EventSource() = default;
  /// Events with a number above `since`, oldest first, at most `limit` of them.
  [[nodiscard]] virtual std::vector<FleetEvent> events_since(std::uint64_t since,
                                                             std::uint32_t limit) const = 0;
  /// Records one; number, time and node are filled in by the recorder.
  virtual void record(FleetEvent event) = 0;
};

/// Carries out planned hand-overs of a group's primary role.
class SwitchoverExecutor {
 public:
  virtual ~SwitchoverExecutor() = default;
  /// Returns once the new primary serves. kNotFound: no such group, or no member that `target` selects;
  /// kNoQuorum: no majority of the group answers; kDeadlineExceeded: the target did not catch up, and the
  /// old primary keeps the role; kOutcomeUnknown: the promotion was sent and not answered.
  virtual Awaitable<std::optional<SwitchoverOutcome>> switch_over(SwitchoverRequest request,
                                                                  TimePoint deadline, Reason& reason) = 0;
};

/// Health and metrics of the whole node.
class NodeHealthSource {
 public:
  virtual ~NodeHealthSource() = default;
  /// False with the reason while the node cannot take part (recovering, stopping).
  [[nodiscard]] virtual bool ready(Reason& reason) const = 0;
  /// Prometheus text format.
  [[nodiscard]] virtual std::string metrics_text() const = 0;
};

/// All of them. What they refer to outlives the service.
struct OperatorSources {
  GroupStatusSource& groups;
  FollowerStatusSource& followers;
  EventSource& events;
  SwitchoverExecutor& switchovers;
  NodeHealthSource& health;
};

}  // namespace cairnhollow::declared::control
