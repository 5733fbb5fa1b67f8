// All database groups of the configuration: which of them this node watches and supervises, spread over the
// living control nodes by rendezvous hashing. Needs no configuration quorum: it goes by the last known one.
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

/// What it refers to outlives it; it lives until the process ends.
class GroupSupervision : public GroupStatusSource, public SwitchoverExecutor {
 public:
  GroupSupervision(MonitorServices& services, ConfigView& configuration, const PeerDirectory& peers);

  void start();
  void stop();
  /// A proxy reported a group's primary, here or at another control node.
  void suspect(const follow::SuspectPrimary& suspect);

  /// Groups watched here of which this node reaches no majority.
  /// By name.
  [[nodiscard]] std::vector<GroupName> unreachable_groups() const;
  [[nodiscard]] std::map<ZoneName, std::size_t> primaries_in_zone() const;
  [[nodiscard]] std::size_t watched() const { return monitors_.size(); }
  [[nodiscard]] std::size_t supervised() const;
  [[nodiscard]] MonitorStatistics statistics() const;

  [[nodiscard]] std::vector<GroupStatus> group_status() const override;
  [[nodiscard]] std::vector<std::string> leaving_machines() const override;
  /// Any node may carry it out: two that act at once can only waste a term.
  Awaitable<std::optional<SwitchoverOutcome>> switch_over(SwitchoverRequest request, TimePoint deadline,
                                                          Reason& reason) override;

 private:
  Awaitable<void> run();
  Awaitable<void> forward_changes(runtime::Signal& from);
  void refresh_definitions();
  void refresh_assignments();
  void refresh_probe_interval();
  std::shared_ptr<GroupMonitor> monitor_for(const GroupDefinition& definition);
  /// The nodes that can take part, this one among them; others as far as they know the configuration.
  [[nodiscard]] std::map<NodeName, std::vector<GroupName>> find_able() const;
  /// Whether a change after `revision` may have changed a group's definition.
  [[nodiscard]] bool groups_changed_since(std::uint64_t revision) const;
  void record_revision();
  /// The revision that a control node must have to take part: one that stays without newer objects (it was
  /// wiped, or cut off from the log) is alive but does not know the groups.
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
  /// A revision and when this node was first seen to have it.
  struct RevisionMark {
    std::uint64_t revision = 0;
    TimePoint since{};
  };
  std::deque<RevisionMark> revisions_;  ///< the first one is at least kConfigurationLagLimit old
  std::uint64_t defined_at_revision_ = 0;
  std::set<std::string> defined_with_leaving_;
  std::map<GroupName, GroupDefinition> definitions_;
  std::map<GroupName, Assignment> assignments_;
  std::map<GroupName, std::shared_ptr<GroupMonitor>> monitors_;
  SupervisorTable supervisors_;
  bool assignments_outdated_ = true;
  MonitorStatistics ended_;  ///< of monitors that are gone
  bool stopping_ = false;
};

}  // namespace cairnhollow::declared::control
