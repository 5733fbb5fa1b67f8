#include "declared/proxy/domain/freshness_prober.h"

#include "declared/proxy/knobs.h"

namespace cairnhollow::declared::proxy {

Awaitable<void> FreshnessProber::run() {
  while (!stopping_) {
    start_round();
    co_await stopped_.wait_until(state_.runtime.now() + state_.settings.freshness_probe_interval);
  }
}

void FreshnessProber::stop() {
  stopping_ = true;
  stopped_.notify_all();
  for (const auto& [name, probe] : probes_) {
    if (probe->connection) probe->connection->close();
  }
}

void FreshnessProber::start_round() {
  const auto view = state_.serving.view();
  const TimePoint now = state_.runtime.now();
  const Duration interval = state_.settings.freshness_probe_interval;
  ++round_;
  const std::size_t allowed = probes_per_round(interval, state_.settings.domains.size());
  for (const auto& picked : select_probes(candidates(*view, now), allowed, interval, now)) {
    start_probe(picked, now);
  }
  drop_idle_probes();
}

std::vector<ProbeCandidate> FreshnessProber::candidates(const routing::RoutingView& view, TimePoint now) {
  std::vector<ProbeCandidate> candidates;
  const auto& last_reads = state_.activity.last_statements();
  state_.activity.forget_inactive(now);
  if (view.groups.size() <= kAlwaysProbedGroups) {
    for (const auto& group : view.groups) {
      const auto read = last_reads.find(group->name);
      add_members(*group, read == last_reads.end() ? kGroupActivityTime : now - read->second, candidates);
    }
    return candidates;
  }
  for (const auto& [name, last_read] : last_reads) {
    const auto group = routing::find_group(view, name);
    if (group != nullptr) add_members(*group, now - last_read, candidates);
  }
  return candidates;
}

void FreshnessProber::add_members(const routing::GroupView& group, Duration since_read,
                                  std::vector<ProbeCandidate>& candidates) {
  if (!group.served_here) return;
  for (const auto& member : group.members) {
    auto& probe = probes_[member.name];
    if (!probe) probe = std::make_shared<Probe>();
    probe->round = round_;
    if (probe->in_flight) continue;
    const auto known_at = std::max(probe->began_at, state_.estimates.freshness.learned_at(member.ordinal));
    candidates.push_back({&group, &member, known_at, since_read});
  }
}

void FreshnessProber::start_probe(const ProbeCandidate& candidate, TimePoint now) {
  const auto& known = probes_[candidate.member->name];
  known->in_flight = true;
  known->began_at = now;
  state_.estimates.load.probe_began(candidate.member->ordinal, now);
  state_.runtime.spawn("freshness_probe", probe(known, candidate.group->name, *candidate.member));
}

void FreshnessProber::drop_idle_probes() {
  std::erase_if(probes_, [this](const auto& entry) {
    const auto& probe = entry.second;
    const bool idle = probe->round != round_ && !probe->in_flight;
    if (idle && probe->connection) probe->connection->close();
    return idle;
  });
}

Awaitable<void> FreshnessProber::probe(ProbePointer probe, GroupName group, routing::BackendView backend) {
  Reason reason;
  const TimePoint asked_at = state_.runtime.now();
  const TimePoint deadline = asked_at + kFreshnessProbeLimit;
  if (!probe->connection || !probe->connection->is_open()) {
    probe->connection = co_await connector_.open(backend.name, backend.endpoint, deadline, reason);
  }
  const TimePoint sent_at = state_.runtime.now();
  std::optional<backend::BackendStatus> status;
  if (probe->connection && !stopping_) {
    const auto connection = probe->connection;
    status = co_await connection->status(deadline, reason);
  }
  probe->in_flight = false;
  if (stopping_) co_return;
  const bool answered = status && status->backend == backend.name;
  const bool returned = answered && probe->last_failed;
  probe->last_failed = !answered;
  if (returned && on_recovered_) on_recovered_(backend.name);
  if (answered) {
    learn(group, backend.ordinal, *status, sent_at);
  } else {
    state_.estimates.load.failed(backend.ordinal, state_.runtime.now());
  }
  state_.positions.notify(group);
}

void FreshnessProber::learn(const GroupName& group, std::uint32_t ordinal,
                            const backend::BackendStatus& status, TimePoint sent_at) {
  auto& freshness = state_.estimates.freshness;
  if (status.role == backend::BackendRole::kPrimary) {
    freshness.observe_primary(group, status.committed, sent_at);
  }
  freshness.observe_backend(group, ordinal, status.applied, state_.runtime.now());
  state_.estimates.load.probe_answered(ordinal);
}

}  // namespace cairnhollow::declared::proxy
