#include "declared/control/failover/group_monitor.h"

#include <fmt/format.h>

#include <algorithm>

#include "declared/control/failover/failover_messages.h"
#include "declared/control/knobs.h"

namespace cairnhollow::declared::control {

namespace {

/// Returns true if the old primary must not become the candidate again.
bool replaces_primary(FailoverCause cause) {
  switch (cause) {
    case FailoverCause::kPrimarySilent:
    case FailoverCause::kPrimaryUnreachable:
    case FailoverCause::kPrimaryUnheard:
    case FailoverCause::kPrimaryLeaving:
    case FailoverCause::kOperator:
      return true;
    default:
      return false;
  }
}

Duration doubled(Duration base, std::uint32_t times, Duration limit) {
  return std::min<Duration>(base * (1U << std::min(times, kBackoffDoublings)), limit);
}

}  // namespace

GroupMonitor::GroupMonitor(MonitorServices& services, GroupDefinition definition)
    : services_(services), definition_(std::move(definition)), wake_(services.runtime) {
  observed_since_ = services_.runtime.now();
  last_tick_ = observed_since_;
  majority_answered_at_ = observed_since_;
}

void GroupMonitor::start() {
  update(definition_);
  services_.runtime.spawn("group_monitor", run(shared_from_this()));
}

void GroupMonitor::stop() {
  stopping_ = true;
  for (const auto& [backend, probe] : probes_) probe->stop();
  wake_.notify_all();
}

void GroupMonitor::update(const GroupDefinition& definition) {
  definition_ = definition;
  std::set<BackendName> declared;
  for (const auto& member : definition_.members) {
    declared.insert(member.backend);
    auto& probe = probes_[member.backend];
    if (probe) {
      probe->update(member);
      continue;
    }
    const MemberProbeSettings settings{definition_.group, services_.probe_interval, services_.probe_timeout};
    probe = std::make_shared<MemberProbe>(services_.runtime, services_.connector, settings, member,
                                          [this] { wake_.notify_all(); });
    probe->start();
  }
  for (auto entry = probes_.begin(); entry != probes_.end();) {
    if (declared.contains(entry->first)) {
      ++entry;
      continue;
    }
    entry->second->stop();
    entry = probes_.erase(entry);
  }
  wake_.notify_all();
}

void GroupMonitor::update_interval() {
  for (const auto& [backend, probe] : probes_) probe->set_interval(services_.probe_interval);
}

void GroupMonitor::set_supervising(bool supervising) {
  if (supervising_ == supervising) return;
  supervising_ = supervising;
  pending_cause_ = FailoverCause::kNone;
  wake_.notify_all();
}

void GroupMonitor::handle_suspicion(const follow::SuspectPrimary& suspect) {
  const auto known = services_.directory.find(definition_.group);
  if (known && suspect.term < known->term) return;
  const TimePoint now = services_.runtime.now();
  const bool repeated = suspected_until_ > now && suspected_term_ == suspect.term;
  suspected_until_ = now + kSuspicionTimeout;
  suspected_term_ = suspect.term;
  if (repeated) return;
  for (const auto& [backend, probe] : probes_) probe->probe_urgently(suspected_until_);
}

GroupObservation GroupMonitor::observe() const {
  const TimePoint now = services_.runtime.now();
  GroupObservation observation;
  const auto known = services_.directory.find(definition_.group);
  observation.known = known ? *known : follow::GroupState{definition_.group, 0, BackendName()};
  for (const auto& [backend, probe] : probes_) observation.members.push_back(probe->observe());
  observation.suspected = now < suspected_until_ && suspected_term_ >= observation.known.term;
  observation.observed_for = now - observed_since_;
  return observation;
}

bool GroupMonitor::reaches_majority() const {
  // The monitor loop does not run during an attempt, and the attempt itself needs a majority. A group without
  // members is never considered unreachable.
  if (attempt_in_progress_ || definition_.members.empty()) return true;
  return services_.runtime.now() < majority_answered_at_ + kUnreachableAfter;
}

Awaitable<void> GroupMonitor::run(std::shared_ptr<GroupMonitor> /*self*/) {
  while (!stopping_) {
    const TimePoint now = services_.runtime.now();
    detect_stall(now);
    publish_probe_results();
    const GroupObservation observation = observe();
    record_reachability(observation, now);
    if (supervising_ && !attempt_in_progress_) {
      const FailoverCause cause = due_cause(observation, now);
      if (cause != FailoverCause::kNone) {
        co_await handle_cause(cause);
        continue;
      }
      redirect_members(observation);
    }
    co_await wake_.wait_until(next_evaluation(now));
  }
}

TimePoint GroupMonitor::next_evaluation(TimePoint now) const {
  const TimePoint tick = now + kMonitorTick;
  if (!supervising_ || pending_cause_ == FailoverCause::kNone) return tick;
  const TimePoint due = std::max(pending_since_ + pending_delay_, backoff_until_);
  return due > now ? std::min(tick, due) : tick;
}

void GroupMonitor::detect_stall(TimePoint now) {
  const bool stalled = now - last_tick_ > kMonitorStallLimit;
  last_tick_ = now;
  if (stalled) discard_observations();
}

void GroupMonitor::discard_observations() {
  for (const auto& [backend, probe] : probes_) {
    probe->discard_results();
    probe->probe_urgently(services_.runtime.now() + kSuspicionTimeout);
  }
  pending_cause_ = FailoverCause::kNone;
  observed_since_ = services_.runtime.now();
}

void GroupMonitor::publish_probe_results() {
  for (const auto& [backend, probe] : probes_) {
    const MemberObservation seen = probe->observe();
    if (!seen.answering || !seen.status) continue;
    highest_term_ = std::max(highest_term_, seen.status->term);
    const bool is_primary = seen.status->role == backend::BackendRole::kPrimary;
    const BackendName primary = is_primary ? backend : seen.status->primary;
    if (primary.empty()) continue;
    services_.directory.learn(follow::GroupState{definition_.group, seen.status->term, primary});
  }
}

void GroupMonitor::record_reachability(const GroupObservation& observation, TimePoint now) {
  if (majority_answers(observation)) majority_answered_at_ = now;
}

FailoverCause GroupMonitor::due_cause(const GroupObservation& observation, TimePoint now) {
  const FailoverDecision decision = decide_failover(observation, services_.limits);
  if (decision.cause != pending_cause_) {
    pending_cause_ = decision.cause;
    pending_since_ = now;
  }
  pending_delay_ = decision.delay;
  const bool lasted = now - pending_since_ >= decision.delay;
  return lasted && now >= backoff_until_ ? decision.cause : FailoverCause::kNone;
}

Awaitable<void> GroupMonitor::handle_cause(FailoverCause cause) {
  std::optional<BackendName> target;
  if (cause == FailoverCause::kPrimaryLeaving) target = best_target(observe());
  Reason reason;
  const TimePoint deadline = services_.runtime.now() + kSwitchoverTimeout;
  co_await attempt(cause, target, deadline, reason);
}

Awaitable<std::optional<FailoverOutcome>> GroupMonitor::attempt(FailoverCause cause,
                                                                std::optional<BackendName> target,
                                                                TimePoint deadline, Reason& reason) {
  attempt_in_progress_ = true;
  const TimePoint started_at = services_.runtime.now();
  const GroupObservation observation = observe();
  record_attempt_start(observation, cause);
  const FailoverPlan plan = make_plan(observation, cause, target);
  const auto failover = std::make_shared<FailoverRun>(services_.runtime, services_.connector, plan);
  failover->on_fenced([this, term = plan.term](const FenceResult& result) {
    services_.events.record("members_fenced", definition_.group.value, members_fenced_message(term, result),
                            result.refused.empty() ? Reason{} : result.refused.front());
  });
  auto outcome = co_await failover->run(deadline, reason);
  attempt_in_progress_ = false;
  // The attempt may have taken long; do not treat that time as a stall of the loop.
  last_tick_ = services_.runtime.now();
  highest_term_ = std::max(highest_term_, failover->highest_term());
  if (outcome) {
    record_success(cause, *outcome);
  } else {
    record_failure(cause, services_.runtime.now() - started_at, plan.call_timeout, reason);
  }
  co_return outcome;
}

void GroupMonitor::record_attempt_start(const GroupObservation& observation, FailoverCause cause) {
  const bool waited = cause == pending_cause_;
  const Duration held = waited ? services_.runtime.now() - pending_since_ : Duration::zero();
  services_.events.record("failover_started", definition_.group.value,
                          failover_started_message(observation, cause, held));
}

FailoverPlan GroupMonitor::make_plan(const GroupObservation& observation, FailoverCause cause,
                                     std::optional<BackendName> target) {
  FailoverPlan plan;
  plan.definition = definition_;
  plan.voting_members = voting_members(observation);
  plan.term = std::max(highest_term_, observation.known.term) + 1;
  plan.owner = fmt::format("{}-{}", services_.owner_prefix, ++attempts_);
  highest_term_ = plan.term;
  if (replaces_primary(cause)) plan.replaced = observation.known.primary;
  if (!replaces_primary(cause)) plan.preference.preferred = observation.known.primary;
  plan.preference.primaries_in_zone = services_.primaries_in_zone();
  plan.call_timeout = doubled(kFailoverCallTimeout, failures_in_a_row_, kFailoverCallTimeoutLimit);
  plan.target = std::move(target);
  if (!plan.target) return plan;
  plan.preference.preferred = *plan.target;
  for (const auto& member : observation.members) {
    const bool is_primary = member.member.backend == observation.known.primary;
    if (is_primary && member.status) plan.target_position = member.status->last;
  }
  return plan;
}

std::optional<BackendName> GroupMonitor::best_target(const GroupObservation& observation) const {
  const MemberObservation* best = nullptr;
  for (const auto& member : observation.members) {
    if (member.member.backend == observation.known.primary || member.member.leaving) continue;
    if (!member.answering || !member.status) continue;
    if (best == nullptr || member.status->last > best->status->last) best = &member;
  }
  if (best == nullptr) return std::nullopt;
  return best->member.backend;
}

void GroupMonitor::record_success(FailoverCause cause, const FailoverOutcome& outcome) {
  const auto before = services_.directory.find(definition_.group);
  services_.directory.learn(follow::GroupState{definition_.group, outcome.term, outcome.primary.backend});
  ++statistics_.failovers;
  failures_in_a_row_ = 0;
  suspected_until_ = TimePoint{};
  const std::string message =
      primary_promoted_message(outcome, before ? before->primary : BackendName{}, cause);
  services_.events.record("primary_promoted", definition_.group.value, message);
  discard_observations();
}

void GroupMonitor::record_failure(FailoverCause cause, Duration took, Duration call_timeout,
                                  const Reason& reason) {
  ++statistics_.failed_attempts;
  ++failures_in_a_row_;
  const Duration backoff = doubled(kFailoverBackoff, failures_in_a_row_ - 1, kFailoverBackoffLimit);
  backoff_until_ = services_.runtime.now() + services_.runtime.random().between(backoff, 2 * backoff);
  const FailedAttempt attempt{failures_in_a_row_, took, call_timeout,
                              backoff_until_ - services_.runtime.now()};
  services_.events.record("failover_failed", definition_.group.value, failover_failed_message(attempt, cause),
                          reason);
}

Awaitable<std::optional<FailoverOutcome>> GroupMonitor::switch_over(std::optional<BackendName> target,
                                                                    TimePoint deadline, Reason& reason) {
  if (attempt_in_progress_) {
    reason = Reason{ReasonCode::kConflict, "switchover", "",
                    "another switchover or failover of the group is in progress"};
    co_return std::nullopt;
  }
  // A monitor created for this switchover has not probed the group yet.
  while (!majority_answers(observe()) &&
         services_.runtime.now() < observed_since_ + services_.limits.initial_observation) {
    co_await services_.runtime.sleep_for(kCatchUpPollInterval);
  }
  const GroupObservation observation = observe();
  if (!target) target = best_target(observation);
  if (!target) {
    reason = Reason{ReasonCode::kNoBackend, "switchover", "", "no other member that is staying answers"};
    co_return std::nullopt;
  }
  const auto probe = probes_.find(*target);
  if (*target == observation.known.primary && probe != probes_.end()) {
    FailoverOutcome unchanged;
    unchanged.primary = probe->second->member();
    unchanged.term = observation.known.term;
    co_return unchanged;
  }
  if (!can_switch_over(observation)) {
    reason = Reason{ReasonCode::kNoBackend, "switchover", observation.known.primary.value,
                    "a switchover requires answers from a majority of the members, not counting the primary"};
    co_return std::nullopt;
  }
  if (probe == probes_.end() || !probe->second->observe().answering) {
    reason = Reason{ReasonCode::kNoBackend, "switchover", target->value, "the target does not answer"};
    co_return std::nullopt;
  }
  auto outcome = co_await attempt(FailoverCause::kOperator, std::move(target), deadline, reason);
  if (!outcome) co_return std::nullopt;
  const bool serves = co_await wait_until_serving(outcome->primary.backend, outcome->term, deadline);
  if (serves) co_return outcome;
  reason = Reason{ReasonCode::kOutcomeUnknown, "switchover", outcome->primary.backend.value,
                  "the target was promoted but does not serve yet"};
  co_return std::nullopt;
}

Awaitable<bool> GroupMonitor::wait_until_serving(BackendName backend, std::uint64_t term,
                                                 TimePoint deadline) {
  while (services_.runtime.now() < deadline && !stopping_) {
    const auto probe = probes_.find(backend);
    if (probe == probes_.end()) co_return false;
    const MemberObservation seen = probe->second->observe();
    // A new primary serves once an entry of its own term is committed.
    const bool serves = seen.answering && seen.status && seen.status->term == term &&
                        seen.status->role == backend::BackendRole::kPrimary &&
                        seen.status->committed.term == term;
    if (serves) co_return true;
    co_await services_.runtime.sleep_for(kCatchUpPollInterval);
  }
  co_return false;
}

void GroupMonitor::redirect_members(const GroupObservation& observation) {
  const auto primary = probes_.find(observation.known.primary);
  if (primary == probes_.end()) return;
  for (const auto& backend : members_to_redirect(observation)) {
    if (!redirecting_.insert(backend).second) continue;
    const GroupMember member = probes_.at(backend)->member();
    services_.runtime.spawn("group_redirect", redirect(shared_from_this(), member, observation.known,
                                                       primary->second->member().endpoint));
  }
}

Awaitable<void> GroupMonitor::redirect(std::shared_ptr<GroupMonitor> /*self*/, GroupMember member,
                                       follow::GroupState known, Endpoint primary_endpoint) {
  const TimePoint deadline = services_.runtime.now() + kFailoverCallTimeout;
  Reason reason;
  const auto connection =
      co_await services_.connector.open(member.backend, member.endpoint, deadline, reason);
  bool follows = false;
  if (connection) {
    follows = co_await connection->follow(known.term, known.primary, primary_endpoint, deadline, reason);
    connection->close();
  }
  if (follows) {
    const std::string message = fmt::format("now follows {} in term {}", known.primary.value, known.term);
    services_.events.record("member_redirected", member.backend.value, message);
  }
  // Keep the member marked until the next probe can show the result, so that it is not redirected twice.
  co_await services_.runtime.sleep_for(services_.probe_interval);
  redirecting_.erase(member.backend);
}

std::vector<GroupMemberStatus> GroupMonitor::member_status() const {
  const auto known = services_.directory.find(definition_.group);
  std::vector<GroupMemberStatus> statuses;
  for (const auto& [backend, probe] : probes_) {
    const MemberObservation seen = probe->observe();
    GroupMemberStatus status;
    status.backend = backend;
    status.zone = seen.member.zone;
    status.is_primary = known && known->primary == backend;
    status.reachable = seen.answering;
    status.leaving = seen.member.leaving;
    status.last_problem = probe->last_problem();
    if (seen.status) {
      status.term = seen.status->term;
      status.applied = seen.status->applied;
      status.slots_in_use = seen.status->slots_in_use;
      status.connections_in_use = seen.status->connections_in_use;
    }
    statuses.push_back(std::move(status));
  }
  return statuses;
}

}  // namespace cairnhollow::declared::control
