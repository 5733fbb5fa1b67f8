// The operations that a control node offers to operators. Served over HTTP by control/operator_api; replaced
// by a fake in command line tests.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/reason.h"
#include "base/types.h"
#include "consensus/consensus.h"
#include "declared/config/state_machine.h"
#include "runtime/awaitable.h"

namespace cairnhollow::declared::control {

/// Objects at one revision.
struct ObjectList {
  std::uint64_t revision = 0;
  std::vector<config::StoredObject> objects;  ///< ordered by kind, then name
};

/// A member of a database group as of its last probe.
struct GroupMemberStatus {
  BackendName backend;
  ZoneName zone;
  bool is_primary = false;
  bool reachable = false;  ///< the last probe was answered in time
  bool leaving = false;    ///< drained by an operator or listed as leaving by the platform
  std::uint64_t term = 0;  ///< highest term known to the member
  Position applied;        ///< last applied log position
  std::uint32_t slots_in_use = 0;
  std::uint32_t connections_in_use = 0;
  Reason last_problem;  ///< why the last probe failed; code kNone if it was answered or there was none
};

/// Status of a database group: its primary and its members.
struct GroupStatus {
  GroupName group;
  std::uint64_t term = 0;
  BackendName primary;                     ///< empty if no primary of `term` is known
  NodeName supervisor;                     ///< the control node that probes the group and runs its failovers
  std::vector<GroupMemberStatus> members;  ///< ordered by name
};

/// A proxy that follows a control node.
struct ProxyStatus {
  NodeName proxy;
  ZoneName zone;
  NodeName control_node;        ///< the control node that it follows
  std::uint64_t revision = 0;   ///< configuration revision in force on the proxy
  Duration lease_left{0};       ///< time until its serving lease expires unless renewed; 0: it does not serve
  std::uint64_t in_flight = 0;  ///< statements in progress
  bool draining = false;
};

/// A control node that is a member of the consensus group.
struct MemberStatus {
  consensus::Member member;
  bool is_leader = false;
  bool reachable = false;                     ///< recently heard from by the answering node
  std::optional<Endpoint> operator_endpoint;  ///< address of its operator API, if known
};

/// A control node outside the consensus group: a relay, a standby or a removed member.
struct OtherControlNode {
  NodeName node;
  bool reachable = false;                     ///< recently heard from by the answering node
  std::optional<Endpoint> operator_endpoint;  ///< address of its operator API, if known
};

/// The fleet as seen by the answering control node.
struct FleetStatus {
  NodeName answered_by;
  NodeName leader;  ///< empty if unknown
  std::uint64_t consensus_term = 0;
  std::uint64_t commit_index = 0;
  std::uint64_t revision = 0;         ///< configuration revision applied by the answering node
  std::vector<MemberStatus> members;  ///< ordered by node name
  std::vector<OtherControlNode>
      other_control_nodes;           ///< ordered by node name; relays among them have followers too
  std::vector<GroupStatus> groups;   ///< ordered by name
  std::vector<ProxyStatus> proxies;  ///< ordered by name
  std::vector<std::string> leaving;  ///< machines that the platform lists as leaving
};

/// An event in the fleet, for human readers. Numbers increase by one on each control node.
struct FleetEvent {
  std::uint64_t number = 0;
  std::int64_t wall_clock_microseconds = 0;  ///< microseconds since the Unix epoch, on the clock of `node`
  NodeName node;                             ///< the control node that recorded the event
  std::string kind;     ///< stable snake_case name, e.g. "primary_promoted", "leader_elected"
  std::string subject;  ///< the affected group, backend, proxy, member or object
  std::string message;  ///< one plain sentence
  Reason cause;         ///< the failure behind the event, with step and peer; code kNone if nothing failed
};

/// How far an accepted revision has propagated.
struct InForceReport {
  std::uint64_t revision = 0;  ///< configuration revision after a read barrier
  std::uint64_t least_revision =
      0;  ///< lowest revision in force on proxies that may still serve; `revision` if there are none
  /// Proxies that may serve below `revision`. An entry without a proxy name covers all followers of
  /// `control_node`, a node other than the answering one.
  std::vector<ProxyStatus> behind;
};

/// A planned switchover of a group's primary.
struct SwitchoverRequest {
  GroupName group;
  config::Selector target;  ///< over backend labels; empty: the most up-to-date member
};

struct SwitchoverOutcome {
  BackendName primary;  ///< the new primary
  std::uint64_t term = 0;
};

/// Every call ends by its deadline. Errors: kNotLeader (leader_operator_endpoint() names the node to ask),
/// kNoQuorum, kDeadlineExceeded, kOutcomeUnknown (resend with the same change id), kCancelled. The calls up
/// to replace_member() other than status() and events() need the configuration log. Their default
/// implementations fail with kNotLeader, which is right for a node without the log.
class OperatorService {
 public:
  /// `node` is the answering control node.
  explicit OperatorService(NodeName node) : node_(std::move(node)) {}
  virtual ~OperatorService() = default;

  /// Returns std::nullopt only if the change was not decided or its outcome is unknown; a refusal by the
  /// configuration (conflict, invalid object) is an outcome.
  virtual Awaitable<std::optional<config::ChangeOutcome>> apply(config::ChangeRequest request,
                                                                TimePoint deadline, Reason& reason);
  /// Runs after a read barrier: sees every change accepted before the call.
  virtual Awaitable<std::optional<ObjectList>> list(config::ObjectQuery query, TimePoint deadline,
                                                    Reason& reason);
  /// As list(); fails with kNotFound if the object does not exist.
  virtual Awaitable<std::optional<config::StoredObject>> find(config::ObjectKey key, TimePoint deadline,
                                                              Reason& reason);
  /// The state known to this node; does not need a quorum.
  virtual Awaitable<std::optional<FleetStatus>> status(TimePoint deadline, Reason& reason) = 0;
  /// Returns this node's events with a number above `since`, oldest first, at most `limit`.
  virtual Awaitable<std::optional<std::vector<FleetEvent>>> events(std::uint64_t since, std::uint32_t limit,
                                                                   TimePoint deadline, Reason& reason) = 0;
  virtual Awaitable<std::optional<InForceReport>> in_force(TimePoint deadline, Reason& reason);

  /// Adds a control node, as a learner until it has caught up. If `member.identity` is empty, it is requested
  /// from the node.
  virtual Awaitable<bool> add_member(consensus::Member member, TimePoint deadline, Reason& reason);
  virtual Awaitable<bool> remove_member(NodeName node, TimePoint deadline, Reason& reason);
  /// Replaces a permanently lost voter by `replacement`.
  virtual Awaitable<bool> replace_member(NodeName lost, consensus::Member replacement, TimePoint deadline,
                                         Reason& reason);

  virtual Awaitable<std::optional<SwitchoverOutcome>> switchover(SwitchoverRequest request,
                                                                 TimePoint deadline, Reason& reason) = 0;

  /// Address of the leader's operator API; std::nullopt if it is unknown or this node is the leader.
  [[nodiscard]] virtual std::optional<Endpoint> leader_operator_endpoint() const = 0;
  /// Returns false with `reason` while the node cannot take part (recovering, stopping).
  [[nodiscard]] virtual bool ready(Reason& reason) const = 0;
  /// Metrics of the node in the Prometheus text format.
  [[nodiscard]] virtual std::string metrics_text() const = 0;

 protected:
  [[nodiscard]] const NodeName& node() const { return node_; }

 private:
  [[nodiscard]] Reason no_log_refusal(std::string step) const;

  NodeName node_;
};

}  // namespace cairnhollow::declared::control
