// Watches one database group by probing its members and, while this node supervises the group, gives it a
// primary when it has lost its own or when a planned hand-over is due.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "declared/control/failover/failover_rules.h"
#include "declared/control/failover/failover_run.h"
#include "declared/control/failover/member_probe.h"
#include "declared/control/news/news_directory.h"
#include "declared/control/operator/event_log.h"

namespace cairnhollow::declared::control {

/// What all monitors of a node share; outlives them.
struct MonitorServices {
  runtime::Runtime& runtime;
  backend::BackendConnector& connector;
  NewsDirectory& directory;
  EventLog& events;
  NodeName node;
  std::string owner_prefix;  ///< unique to this process: part of every fence's owner
  Duration probe_interval{0};
  Duration probe_timeout{0};
  FailoverLimits limits;
  /// How many groups have their primary in each zone.
  std::function<std::map<ZoneName, std::size_t>()> primaries_in_zone;
};

/// Counters since the start.
struct MonitorStatistics {
  std::uint64_t failovers = 0;
  std::uint64_t failed_attempts = 0;
};

/// Kept alive by its own coroutine until stop().
class GroupMonitor : public std::enable_shared_from_this<GroupMonitor> {
 public:
  GroupMonitor(MonitorServices& services, GroupDefinition definition);

  void start();
  void stop();
  void update(const GroupDefinition& definition);
  /// Takes over the probe interval that the services name now.
  void update_interval();
  /// Whether this node is the one to act; another one that watches keeps its observations warm.
  void set_supervising(bool supervising);
  /// A proxy reported the primary of a term: the members are probed at once.
  void suspect(const follow::SuspectPrimary& suspect);
  /// A planned hand-over to `target`, or to the member that is best caught up. Returns once the new primary
  /// serves.
  Awaitable<std::optional<FailoverOutcome>> switch_over(std::optional<BackendName> target, TimePoint deadline,
                                                        Reason& reason);

  [[nodiscard]] const GroupDefinition& definition() const { return definition_; }
  [[nodiscard]] bool supervising() const { return supervising_; }
  /// False once a majority of the members has not answered for a while.
  [[nodiscard]] bool reaches_majority() const;
  [[nodiscard]] GroupObservation observe() const;
  [[nodiscard]] std::vector<GroupMemberStatus> member_status() const;
  [[nodiscard]] const MonitorStatistics& statistics() const { return statistics_; }

 private:
  Awaitable<void> run(std::shared_ptr<GroupMonitor> self);
  Awaitable<void> act(FailoverCause cause);
  Awaitable<std::optional<FailoverOutcome>> attempt(FailoverCause cause, std::optional<BackendName> target,
                                                    TimePoint deadline, Reason& reason);
  Awaitable<void> redirect(std::shared_ptr<GroupMonitor> self, GroupMember member, follow::GroupState known,
                           Endpoint primary_endpoint);
  Awaitable<bool> wait_until_serving(BackendName backend, std::uint64_t term, TimePoint deadline);
  void record_stall(TimePoint now);
  void learn_from_probes();
  void record_reachability(const GroupObservation& observation, TimePoint now);
  void redirect_members(const GroupObservation& observation);
  /// The cause to act on now, once it has lasted as long as it must.
  FailoverCause due_cause(const GroupObservation& observation, TimePoint now);
  [[nodiscard]] FailoverPlan make_plan(const GroupObservation& observation, FailoverCause cause,
                                       std::optional<BackendName> target);
  [[nodiscard]] std::optional<BackendName> best_target(const GroupObservation& observation) const;
  /// The next tick, or before it the moment at which the pending cause is due.
  [[nodiscard]] TimePoint next_look(TimePoint now) const;
  /// Tells operators what an attempt is made upon: how long detection took is read from it.
  void record_start(const GroupObservation& observation, FailoverCause cause);
  void succeeded(FailoverCause cause, const FailoverOutcome& outcome);
  void failed(FailoverCause cause, Duration took, Duration call_timeout, const Reason& reason);
  void forget_observations();

  MonitorServices& services_;
  GroupDefinition definition_;
  std::map<BackendName, std::shared_ptr<MemberProbe>> probes_;
  runtime::Signal wake_;
  TimePoint observed_since_{};
  TimePoint last_tick_{};
  TimePoint suspected_until_{};
  std::uint64_t suspected_term_ = 0;
  FailoverCause pending_cause_ = FailoverCause::kNone;
  Duration pending_after_{0};  ///< how long it must last
  TimePoint pending_since_{};
  TimePoint majority_answered_at_{};
  TimePoint not_before_{};  ///< backing off until then
  std::uint32_t failures_in_a_row_ = 0;
  std::uint64_t highest_term_ = 0;
  std::uint64_t attempts_ = 0;
  std::set<BackendName> redirecting_;  ///< being told whom to follow
  MonitorStatistics statistics_;
  bool supervising_ = false;
  bool acting_ = false;  ///< an attempt is under way
  bool stopping_ = false;
};

}  // namespace cairnhollow::declared::control
