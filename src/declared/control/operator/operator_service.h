// What a control node offers to operators. Implemented by the control node; served over HTTP by
// control/operator_api and replaced by a fake in tests of the command line.
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

/// Objects as of one revision.
struct ObjectList {
  std::uint64_t revision = 0;
  std::vector<config::StoredObject> objects;  ///< by kind, then name
};

/// One member of a database group as its last probe saw it.
struct GroupMemberStatus {
  BackendName backend;
  ZoneName zone;
  bool is_primary = false;
  bool reachable = false;  ///< the last probe was answered in time
  bool leaving = false;    ///< drained by an operator or listed as leaving by the platform
  std::uint64_t term = 0;  ///< highest term it knows
  Position applied;        ///< last applied position
  std::uint32_t slots_in_use = 0;
  std::uint32_t connections_in_use = 0;
  Reason last_problem;  ///< of the last probe that failed; code kNone when none did
};

/// One database group: who is its primary and how its members stand.
struct GroupStatus {
  GroupName group;
  std::uint64_t term = 0;
  BackendName primary;                     ///< empty while no primary of `term` is known
  NodeName supervisor;                     ///< the control node that probes the group and runs its failovers
  std::vector<GroupMemberStatus> members;  ///< by name
};

/// One proxy that follows a control node.
struct ProxyStatus {
  NodeName proxy;
  ZoneName zone;
  NodeName control_node;        ///< whom it follows
  std::uint64_t revision = 0;   ///< the configuration revision that it has in force
  Duration lease_left{0};       ///< until its serving lease runs out unless renewed; 0: it serves nothing
  std::uint64_t in_flight = 0;  ///< statements being served
  bool draining = false;
};

/// One control node as a member of the consensus group.
struct MemberStatus {
  consensus::Member member;
  bool is_leader = false;
  bool reachable = false;                     ///< heard by the node that answers
  std::optional<Endpoint> operator_endpoint;  ///< where operators reach it, when known
};

/// A control node that is no member of the consensus group: a relay, a standby, or a member that was taken
/// out.
struct OtherControlNode {
  NodeName node;
  bool reachable = false;                     ///< heard by the node that answers
  std::optional<Endpoint> operator_endpoint;  ///< where operators reach it, when known
};

/// The fleet as the answering control node knows it.
struct FleetStatus {
  NodeName answered_by;
  NodeName leader;  ///< empty when unknown
  std::uint64_t consensus_term = 0;
  std::uint64_t commit_index = 0;
  std::uint64_t revision = 0;                         ///< of the configuration applied at the answering node
  std::vector<MemberStatus> members;                  ///< by node name
  std::vector<OtherControlNode> other_control_nodes;  ///< by node name; relays have followers, too
  std::vector<GroupStatus> groups;                    ///< by name
  std::vector<ProxyStatus> proxies;                   ///< by name
  std::vector<std::string> leaving;                   ///< machines that the platform lists as leaving
};

/// Something that happened in the fleet, for people. Numbers grow by one on each control node.
struct FleetEvent {
  std::uint64_t number = 0;
  std::int64_t wall_clock_microseconds = 0;  ///< since the Unix epoch, on the clock of `node`
  NodeName node;                             ///< the control node that recorded it
  std::string kind;     ///< stable snake_case name, e.g. "primary_promoted", "leader_elected"
  std::string subject;  ///< what it happened to: a group, backend, proxy, member or object
  std::string message;  ///< one plain sentence
  Reason cause;         ///< why, with step and peer; code kNone when nothing failed
};

/// How far an accepted revision has spread.
struct InForceReport {
  std::uint64_t revision = 0;  ///< of the configuration, after a read barrier
  std::uint64_t least = 0;     ///< in force on every proxy that may still serve; `revision` when none may
  /// Proxies that may serve and have less than `revision`. One without a name stands for those that follow
  /// its `control_node`, when that is another than the one that answers.
  std::vector<ProxyStatus> behind;
};

/// A planned hand-over of a group's primary role.
struct SwitchoverRequest {
  GroupName group;
  config::Selector target;  ///< over backend labels; empty: the member that is best caught up
};

struct SwitchoverOutcome {
  BackendName primary;  ///< the new primary
  std::uint64_t term = 0;
};

/// Every call ends by its deadline. Refusals: kNotLeader (and leader_operator_endpoint() tells whom to
/// ask), kNoQuorum, kDeadlineExceeded, kOutcomeUnknown (resend under the same change id), kCancelled.
///
/// The calls down to replace_member(), but status() and events(), need the configuration log. As defined here
/// they refuse with kNotLeader, which is right for a node that has no part in the log.
class OperatorService {
 public:
  /// `node`: the control node that answers.
  explicit OperatorService(NodeName node) : node_(std::move(node)) {}
  virtual ~OperatorService() = default;

  /// Empty only when the change was not decided or its outcome is unknown; a refusal by the
  /// configuration (conflict, invalid object) is an outcome.
  virtual Awaitable<std::optional<config::ChangeOutcome>> apply(config::ChangeRequest request,
                                                                TimePoint deadline, Reason& reason);
  /// After a read barrier: sees every change accepted before the call.
  virtual Awaitable<std::optional<ObjectList>> list(config::ObjectQuery query, TimePoint deadline,
                                                    Reason& reason);
  /// As list(); kNotFound when there is no such object.
  virtual Awaitable<std::optional<config::StoredObject>> find(config::ObjectKey key, TimePoint deadline,
                                                              Reason& reason);
  /// What this node knows now, also without a quorum.
  virtual Awaitable<std::optional<FleetStatus>> status(TimePoint deadline, Reason& reason) = 0;
  /// Events of this node with a number above `since`, oldest first, at most `limit` of them.
  virtual Awaitable<std::optional<std::vector<FleetEvent>>> events(std::uint64_t since, std::uint32_t limit,
                                                                   TimePoint deadline, Reason& reason) = 0;
  virtual Awaitable<std::optional<InForceReport>> in_force(TimePoint deadline, Reason& reason);

  /// Takes a control node in, as a learner until it has caught up. `member.identity` may be empty: then
  /// it is asked from the node.
  virtual Awaitable<bool> add_member(consensus::Member member, TimePoint deadline, Reason& reason);
  virtual Awaitable<bool> remove_member(NodeName node, TimePoint deadline, Reason& reason);
  /// Puts `replacement` in the place of a voter that stays lost.
  virtual Awaitable<bool> replace_member(NodeName lost, consensus::Member replacement, TimePoint deadline,
                                         Reason& reason);

  virtual Awaitable<std::optional<SwitchoverOutcome>> switchover(SwitchoverRequest request,
                                                                 TimePoint deadline, Reason& reason) = 0;

  /// Where operators reach the leader; empty when it is unknown or this node is the leader.
  [[nodiscard]] virtual std::optional<Endpoint> leader_operator_endpoint() const = 0;
  /// False with the reason while the node cannot take part (recovering, stopping).
  [[nodiscard]] virtual bool ready(Reason& reason) const = 0;
  /// The node's metrics in the Prometheus text format.
  [[nodiscard]] virtual std::string metrics_text() const = 0;

 protected:
  [[nodiscard]] const NodeName& node() const { return node_; }

 private:
  [[nodiscard]] Reason has_no_log(std::string step) const;

  NodeName node_;
};

}  // namespace cairnhollow::declared::control
