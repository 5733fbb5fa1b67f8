// Assigns the database groups of the configuration to control nodes for monitoring and supervision, by
// rendezvous hashing over the live nodes. Uses the last known configuration and needs no configuration
// quorum.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "declared/control/failover/group_monitor.h"
#include "declared/control/failover/supervisor_table.h"
#include "declared/control/follow/config_view.h"
#include "declared/control/news/peer_directory.h"
#include "declared/control/operator/operator_sources.h"

namespace cairnhollow::declared::control {

/// Objects passed by reference must outlive this object, which must live until the process ends.
class GroupSupervision : public GroupStatusSource, public SwitchoverExecutor {
 public:
  GroupSupervision(MonitorServices& services, ConfigView& configuration, const PeerDirectory& peers);

  void start();
  void stop();
  /// Handles a proxy's report that a group's primary is unreachable, received here or by another control
  /// node.
  void handle_suspicion(const follow::SuspectPrimary& suspect);

  /// Groups monitored by this node of which no majority of the members answers, sorted by name.
  [[nodiscard]] std::vector<GroupName> unreachable_groups() const;
  [[nodiscard]] std::map<ZoneName, std::size_t> primaries_in_zone() const;
  [[nodiscard]] std::size_t watched() const { return monitors_.size(); }
  [[nodiscard]] std::size_t supervised() const;
  [[nodiscard]] MonitorStatistics statistics() const;

  [[nodiscard]] std::vector<GroupStatus> group_status() const override;
  [[nodiscard]] std::vector<std::string> leaving_machines() const override;
  /// May be called on any node. Two nodes that run a switchover at once can only use up a term.
  Awaitable<std::optional<SwitchoverOutcome>> switch_over(SwitchoverRequest request, TimePoint deadline,
                                                          Reason& reason) override;

 private:
  Awaitable<void> run();
  Awaitable<void> forward_changes(runtime::Signal& from);
  void refresh_definitions();
  void refresh_assignments();
  void refresh_probe_interval();
  std::shared_ptr<GroupMonitor> find_or_create_monitor(const GroupDefinition& definition);
  /// Returns the nodes eligible to supervise groups, each with the groups that are unreachable from it.
  /// Includes this node; another node is eligible if it is live and has applied required_revision().
  [[nodiscard]] std::map<NodeName, std::vector<GroupName>> find_eligible_nodes() const;
  /// Returns true if a change after `revision` may have changed a group definition.
  [[nodiscard]] bool groups_changed_since(std::uint64_t revision) const;
  void record_revision();
  /// The configuration revision that another control node must have applied to be eligible. A node without it
  /// (wiped, or cut off from the log) may be live but does not know the groups.
  [[nodiscard]] std::uint64_t required_revision() const { return revisions_.front().revision; }
  void apply_assignment(const GroupDefinition& definition, const Assignment& assignment);
  [[nodiscard]] std::optional<BackendName> select_target(const GroupMonitor& monitor,
                                                         const config::Selector& selector,
                                                         Reason& reason) const;

  MonitorServices& services_;
  Duration base_probe_interval_;
  FailoverLimits base_limits_;
  ConfigView& configuration_;
  const PeerDirectory& peers_;
  runtime::Signal wake_;
  /// A configuration revision and the time at which this node was first seen to have it.
  struct RevisionMark {
    std::uint64_t revision = 0;
    TimePoint since{};
  };
  /// Oldest first. The first is the newest one that has been applied here for kConfigurationLagLimit.
  std::deque<RevisionMark> revisions_;
  std::uint64_t defined_at_revision_ = 0;
  std::set<std::string> defined_with_leaving_;
  std::map<GroupName, GroupDefinition> definitions_;
  std::map<GroupName, Assignment> assignments_;
  std::map<GroupName, std::shared_ptr<GroupMonitor>> monitors_;
  SupervisorTable supervisors_;
  bool assignments_outdated_ = true;
  MonitorStatistics removed_monitor_statistics_;
  bool stopping_ = false;
};

}  // namespace cairnhollow::declared::control
