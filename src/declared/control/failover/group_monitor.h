// Monitors one database group by probing its members. While this node is the group's supervisor, it also runs
// failovers when the primary is lost and planned switchovers.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "declared/control/failover/failover_rules.h"
#include "declared/control/failover/failover_run.h"
#include "declared/control/failover/member_probe.h"
#include "declared/control/news/cluster_state_directory.h"
#include "declared/control/operator/event_log.h"

namespace cairnhollow::declared::control {

/// State and services shared by all monitors of a node. Must outlive the monitors.
struct MonitorServices {
  runtime::Runtime& runtime;
  backend::BackendConnector& connector;
  ClusterStateDirectory& directory;
  EventLog& events;
  NodeName node;
  std::string owner_prefix;  ///< unique to this process; prefix of the owner of every fence
  Duration probe_interval{0};
  Duration probe_timeout{0};
  FailoverLimits limits;
  /// Returns the number of groups whose primary is in each zone.
  std::function<std::map<ZoneName, std::size_t>()> primaries_in_zone;
};

/// Counters since the process started.
struct MonitorStatistics {
  std::uint64_t failovers = 0;
  std::uint64_t failed_attempts = 0;
};

/// Its coroutine keeps it alive until stop().
class GroupMonitor : public std::enable_shared_from_this<GroupMonitor> {
 public:
  GroupMonitor(MonitorServices& services, GroupDefinition definition);

  void start();
  void stop();
  void update(const GroupDefinition& definition);
  /// Applies the current probe interval of MonitorServices to all probes.
  void update_interval();
  /// Sets whether this node supervises the group and starts failovers. Other monitoring nodes only probe, so
  /// that they can take over without delay.
  void set_supervising(bool supervising);
  /// Handles a proxy's report that the primary of a term is unreachable: probes all members immediately.
  /// Reports for a term older than the known one are ignored.
  void handle_suspicion(const follow::SuspectPrimary& suspect);
  /// Runs a planned switchover to `target`, or to the member with the highest log position that answers and
  /// is not leaving. Returns once the new primary serves. Returns std::nullopt and sets `reason` on failure;
  /// kOutcomeUnknown means that the target was promoted but does not serve yet.
  Awaitable<std::optional<FailoverOutcome>> switch_over(std::optional<BackendName> target, TimePoint deadline,
                                                        Reason& reason);

  [[nodiscard]] const GroupDefinition& definition() const { return definition_; }
  [[nodiscard]] bool supervising() const { return supervising_; }
  /// Returns false once no majority of the members has answered for kUnreachableAfter.
  [[nodiscard]] bool reaches_majority() const;
  [[nodiscard]] GroupObservation observe() const;
  [[nodiscard]] std::vector<GroupMemberStatus> member_status() const;
  [[nodiscard]] const MonitorStatistics& statistics() const { return statistics_; }

 private:
  Awaitable<void> run(std::shared_ptr<GroupMonitor> self);
  Awaitable<void> handle_cause(FailoverCause cause);
  Awaitable<std::optional<FailoverOutcome>> attempt(FailoverCause cause, std::optional<BackendName> target,
                                                    TimePoint deadline, Reason& reason);
  Awaitable<void> redirect(std::shared_ptr<GroupMonitor> self, GroupMember member, follow::GroupState known,
                           Endpoint primary_endpoint);
  Awaitable<bool> wait_until_serving(BackendName backend, std::uint64_t term, TimePoint deadline);
  void detect_stall(TimePoint now);
  void publish_probe_results();
  void record_reachability(const GroupObservation& observation, TimePoint now);
  void redirect_members(const GroupObservation& observation);
  /// Returns the cause to act on now, or kNone if no cause has persisted long enough or the backoff after a
  /// failed attempt has not elapsed.
  FailoverCause due_cause(const GroupObservation& observation, TimePoint now);
  [[nodiscard]] FailoverPlan make_plan(const GroupObservation& observation, FailoverCause cause,
                                       std::optional<BackendName> target);
  [[nodiscard]] std::optional<BackendName> best_target(const GroupObservation& observation) const;
  /// Returns the next tick, or the time at which the pending cause is due if that is earlier.
  [[nodiscard]] TimePoint next_evaluation(TimePoint now) const;
  /// Records an event with the observations that triggered the attempt, including the detection time.
  void record_attempt_start(const GroupObservation& observation, FailoverCause cause);
  void record_success(FailoverCause cause, const FailoverOutcome& outcome);
  void record_failure(FailoverCause cause, Duration took, Duration call_timeout, const Reason& reason);
  void discard_observations();

  MonitorServices& services_;
  GroupDefinition definition_;
  std::map<BackendName, std::shared_ptr<MemberProbe>> probes_;
  runtime::Signal wake_;
  TimePoint observed_since_{};
  TimePoint last_tick_{};
  TimePoint suspected_until_{};
  std::uint64_t suspected_term_ = 0;
  FailoverCause pending_cause_ = FailoverCause::kNone;
  Duration pending_delay_{0};  ///< how long pending_cause_ must persist
  TimePoint pending_since_{};
  TimePoint majority_answered_at_{};
  TimePoint backoff_until_{};  ///< end of the backoff after a failed attempt
  std::uint32_t failures_in_a_row_ = 0;
  std::uint64_t highest_term_ = 0;
  std::uint64_t attempts_ = 0;
  std::set<BackendName> redirecting_;  ///< members with a redirect in progress
  MonitorStatistics statistics_;
  bool supervising_ = false;
  bool attempt_in_progress_ = false;
  bool stopping_ = false;
};

}  // namespace cairnhollow::declared::control
