#include "declared/control/failover/group_supervision.h"

#include <algorithm>
#include <utility>

#include "declared/control/knobs.h"

namespace cairnhollow::declared::control {

GroupSupervision::GroupSupervision(MonitorServices& services, ConfigView& configuration,
                                   const PeerDirectory& peers)
    : services_(services),
      base_probe_interval_(services.probe_interval),
      base_limits_(services.limits),
      configuration_(configuration),
      peers_(peers),
      wake_(services.runtime),
      supervisors_(services.node) {
  revisions_.push_back({});
}

void GroupSupervision::start() {
  services_.runtime.spawn("group_supervision", run());
  services_.runtime.spawn("group_supervision_config", forward_changes(configuration_.changed()));
}

void GroupSupervision::stop() {
  stopping_ = true;
  for (const auto& [group, monitor] : monitors_) monitor->stop();
  wake_.notify_all();
  configuration_.changed().notify_all();
}

Awaitable<void> GroupSupervision::forward_changes(runtime::Signal& from) {
  while (!stopping_) {
    co_await from.wait();
    wake_.notify_all();
  }
}

Awaitable<void> GroupSupervision::run() {
  while (!stopping_) {
    record_revision();
    refresh_definitions();
    refresh_assignments();
    const TimePoint due = services_.runtime.now() + kSupervisionTick;
    co_await wake_.wait_until(due);
    // After a stall of this loop, let pending messages of the peers be processed first; otherwise every peer
    // would appear dead.
    const bool stalled = services_.runtime.now() > due + kMonitorStallLimit;
    if (stalled && !stopping_) co_await services_.runtime.sleep_for(kSupervisionTick);
  }
}

bool GroupSupervision::groups_changed_since(std::uint64_t revision) const {
  const auto changes = revision == 0 ? std::nullopt : configuration_.changes_since(revision);
  if (!changes) return true;
  const auto defines_groups = [](config::ObjectKind kind) {
    return kind == config::ObjectKind::kBackend || kind == config::ObjectKind::kDatabaseGroup;
  };
  return std::any_of(changes->upserts.begin(), changes->upserts.end(),
                     [&](const auto& stored) { return defines_groups(stored.object.kind()); }) ||
         std::any_of(changes->deletions.begin(), changes->deletions.end(),
                     [&](const auto& key) { return defines_groups(key.kind); });
}

void GroupSupervision::refresh_definitions() {
  const std::uint64_t revision = configuration_.revision();
  const auto& leaving = services_.directory.leaving();
  if (revision == defined_at_revision_ && leaving == defined_with_leaving_) return;
  const bool unchanged = leaving == defined_with_leaving_ && !groups_changed_since(defined_at_revision_);
  defined_at_revision_ = revision;
  if (unchanged) return;
  defined_with_leaving_ = leaving;
  const auto before = std::exchange(definitions_, {});
  for (auto& definition : group_definitions(configuration_.objects(), leaving)) {
    const GroupName group = definition.group;
    definitions_.emplace(group, std::move(definition));
  }
  for (const auto& [group, definition] : before) {
    if (!definitions_.contains(group)) supervisors_.remove_group(group);
  }
  assignments_outdated_ = true;
}

void GroupSupervision::record_revision() {
  const TimePoint now = services_.runtime.now();
  const std::uint64_t revision = configuration_.revision();
  if (revision != revisions_.back().revision) revisions_.push_back({revision, now});
  while (revisions_.size() > 1 && now >= revisions_[1].since + kConfigurationLagLimit) revisions_.pop_front();
}

std::map<NodeName, std::vector<GroupName>> GroupSupervision::find_eligible_nodes() const {
  std::map<NodeName, std::vector<GroupName>> eligible;
  const TimePoint now = services_.runtime.now();
  eligible[services_.node] = unreachable_groups();
  for (const auto& [node, peer] : peers_.peers()) {
    if (!peer.alive(now) || peer.last_message.revision < required_revision()) continue;
    eligible[node] = peer.last_message.unreachable_groups;
  }
  return eligible;
}

void GroupSupervision::refresh_assignments() {
  const bool nodes_changed = supervisors_.set_eligible_nodes(find_eligible_nodes());
  if (!assignments_outdated_ && !nodes_changed) return;
  assignments_outdated_ = false;
  assignments_.clear();
  for (const auto& [group, definition] : definitions_) {
    apply_assignment(definition, assignments_[group] = supervisors_.assign(group));
  }
  for (auto entry = monitors_.begin(); entry != monitors_.end();) {
    const auto assignment = assignments_.find(entry->first);
    if (assignment != assignments_.end() && assignment->second.monitored_here) {
      ++entry;
      continue;
    }
    removed_monitor_statistics_.failovers += entry->second->statistics().failovers;
    removed_monitor_statistics_.failed_attempts += entry->second->statistics().failed_attempts;
    entry->second->stop();
    entry = monitors_.erase(entry);
  }
  refresh_probe_interval();
}

void GroupSupervision::apply_assignment(const GroupDefinition& definition, const Assignment& assignment) {
  if (!assignment.monitored_here) return;
  auto& monitor = monitors_[definition.group];
  if (!monitor) {
    monitor = std::make_shared<GroupMonitor>(services_, definition);
    monitor->start();
  } else if (monitor->definition() != definition) {
    monitor->update(definition);
  }
  monitor->set_supervising(assignment.supervisor == services_.node);
}

void GroupSupervision::handle_suspicion(const follow::SuspectPrimary& suspect) {
  const auto monitor = monitors_.find(suspect.group);
  if (monitor != monitors_.end()) monitor->second->handle_suspicion(suspect);
}

std::vector<GroupName> GroupSupervision::unreachable_groups() const {
  std::vector<GroupName> unreachable;
  for (const auto& [group, monitor] : monitors_) {
    if (!monitor->reaches_majority()) unreachable.push_back(group);
  }
  return unreachable;
}

std::map<ZoneName, std::size_t> GroupSupervision::primaries_in_zone() const {
  std::map<ZoneName, std::size_t> primaries;
  for (const auto& [group, definition] : definitions_) {
    const auto known = services_.directory.find(group);
    if (!known) continue;
    for (const auto& member : definition.members) {
      if (member.backend == known->primary) ++primaries[member.zone];
    }
  }
  return primaries;
}

std::size_t GroupSupervision::supervised() const {
  return static_cast<std::size_t>(std::count_if(
      monitors_.begin(), monitors_.end(), [](const auto& entry) { return entry.second->supervising(); }));
}

MonitorStatistics GroupSupervision::statistics() const {
  MonitorStatistics all = removed_monitor_statistics_;
  for (const auto& [group, monitor] : monitors_) {
    all.failovers += monitor->statistics().failovers;
    all.failed_attempts += monitor->statistics().failed_attempts;
  }
  return all;
}

std::vector<GroupStatus> GroupSupervision::group_status() const {
  std::vector<GroupStatus> statuses;
  for (const auto& [group, definition] : definitions_) {
    GroupStatus status;
    status.group = group;
    const auto known = services_.directory.find(group);
    if (known) {
      status.term = known->term;
      status.primary = known->primary;
    }
    const auto assignment = assignments_.find(group);
    if (assignment != assignments_.end()) status.supervisor = assignment->second.supervisor;
    const auto monitor = monitors_.find(group);
    if (monitor != monitors_.end()) status.members = monitor->second->member_status();
    statuses.push_back(std::move(status));
  }
  return statuses;
}

std::vector<std::string> GroupSupervision::leaving_machines() const {
  const auto& leaving = services_.directory.leaving();
  return {leaving.begin(), leaving.end()};
}

std::optional<BackendName> GroupSupervision::select_target(const GroupMonitor& monitor,
                                                           const config::Selector& selector,
                                                           Reason& reason) const {
  const auto known = services_.directory.find(monitor.definition().group);
  std::optional<BackendName> selected;
  for (const auto& member : monitor.definition().members) {
    if (!selector.matches(member.labels)) continue;
    // If the selector matches the current primary, no switchover is needed.
    if (!selected || (known && known->primary == member.backend)) selected = member.backend;
  }
  if (!selected) {
    reason = Reason{ReasonCode::kNotFound, "switchover", "", "the selector matches no member of the group"};
  }
  return selected;
}

Awaitable<std::optional<SwitchoverOutcome>> GroupSupervision::switch_over(SwitchoverRequest request,
                                                                          TimePoint deadline,
                                                                          Reason& reason) {
  const auto definition = definitions_.find(request.group);
  if (definition == definitions_.end()) {
    reason =
        Reason{ReasonCode::kNotFound, "switchover", "", "no such database group: " + request.group.value};
    co_return std::nullopt;
  }
  const std::shared_ptr<GroupMonitor> monitor = find_or_create_monitor(definition->second);
  std::optional<BackendName> target;
  bool selected = true;
  if (request.target != config::Selector{}) {
    target = select_target(*monitor, request.target, reason);
    selected = target.has_value();
  }
  std::optional<FailoverOutcome> outcome;
  if (selected) outcome = co_await monitor->switch_over(target, deadline, reason);
  if (!monitors_.contains(request.group)) monitor->stop();
  if (!outcome) co_return std::nullopt;
  co_return SwitchoverOutcome{outcome->primary.backend, outcome->term};
}

std::shared_ptr<GroupMonitor> GroupSupervision::find_or_create_monitor(const GroupDefinition& definition) {
  const auto found = monitors_.find(definition.group);
  if (found != monitors_.end()) return found->second;
  auto monitor = std::make_shared<GroupMonitor>(services_, definition);
  monitor->start();
  return monitor;
}

void GroupSupervision::refresh_probe_interval() {
  std::size_t members = 0;
  for (const auto& [group, monitor] : monitors_) members += monitor->definition().members.size();
  const Duration minimum_interval = kProbeIntervalPerMember * static_cast<std::int64_t>(members);
  const Duration interval = std::max(base_probe_interval_, minimum_interval);
  if (interval == services_.probe_interval) return;
  services_.probe_interval = interval;
  // Keep the number of probes that the primary must miss the same as at the base interval.
  const Duration extension = interval - base_probe_interval_;
  services_.limits.primary_silence = base_limits_.primary_silence + kMissedProbesUntilSilent * extension;
  services_.limits.initial_observation = base_limits_.initial_observation + extension;
  services_.limits.lost_role = base_limits_.lost_role + extension;
  for (const auto& [group, monitor] : monitors_) monitor->update_interval();
}

}  // namespace cairnhollow::declared::control
