#include "registered/control/failover/group_prober.h"

namespace cairnhollow::registered::control {

struct GroupProber::GroupQuery {
  explicit GroupQuery(runtime::Runtime& runtime) : answered(runtime) {}
  std::vector<MemberFinding> findings;
  std::size_t unanswered = 0;
  runtime::Signal answered;
};

Awaitable<std::optional<BackendStatus>> GroupProber::query(registry::BackendEntry entry, TimePoint deadline,
                                                           Reason& reason) {
  BackendRequest request = GetStatus{};
  co_return co_await run(std::move(entry), std::move(request), deadline, reason);
}

Awaitable<std::optional<BackendStatus>> GroupProber::demote(registry::BackendEntry entry, std::uint64_t term,
                                                            TimePoint deadline, Reason& reason) {
  BackendRequest request = Demote{term};
  co_return co_await run(std::move(entry), std::move(request), deadline, reason);
}

Awaitable<std::optional<BackendStatus>> GroupProber::pause(registry::BackendEntry entry, std::uint64_t term,
                                                           TimePoint deadline, Reason& reason) {
  BackendRequest request = Pause{term};
  co_return co_await run(std::move(entry), std::move(request), deadline, reason);
}

Awaitable<std::optional<BackendStatus>> GroupProber::resume(registry::BackendEntry entry, TimePoint deadline,
                                                            Reason& reason) {
  BackendRequest request = Resume{};
  co_return co_await run(std::move(entry), std::move(request), deadline, reason);
}

Awaitable<bool> GroupProber::is_address_reused(registry::BackendEntry entry, TimePoint deadline) {
  Reason reason;
  std::optional<Refusal> refusal;
  const BackendAddress address{entry.endpoint, entry.group, entry.name};
  const auto link = co_await dialer_.open(address, deadline, refusal, reason);
  if (link) link->close();
  co_return refusal == Refusal::kWrongBackend;
}

Awaitable<bool> GroupProber::has_ended(registry::BackendEntry entry) {
  // An idle connection that still answers spares a new one.
  Reason reason;
  const auto status = co_await query(entry, runtime_.now() + kStatusTimeout, reason);
  if (status || reason.is_connection_refused) co_return !status;
  Reason dial_reason;
  std::optional<Refusal> refusal;
  const BackendAddress address{entry.endpoint, entry.group, entry.name};
  const auto link = co_await dialer_.open(address, runtime_.now() + kStatusTimeout, refusal, dial_reason);
  if (link) link->close();
  co_return refusal == Refusal::kWrongBackend || (!link && dial_reason.is_connection_refused);
}

std::shared_ptr<BackendLink> GroupProber::take_idle(const registry::BackendEntry& entry) {
  const auto idle = idle_.find(entry.name);
  if (idle == idle_.end()) return nullptr;
  const IdleLink cached = std::move(idle->second);
  idle_.erase(idle);
  if (cached.incarnation == entry.incarnation()) return cached.link;
  cached.link->close();
  return nullptr;
}

void GroupProber::close_idle(const BackendName& backend) {
  const auto idle = idle_.find(backend);
  if (idle == idle_.end()) return;
  const IdleLink cached = std::move(idle->second);
  idle_.erase(idle);
  cached.link->close();
}

Awaitable<std::optional<BackendStatus>> GroupProber::run(registry::BackendEntry entry, BackendRequest request,
                                                         TimePoint deadline, Reason& reason) {
  std::shared_ptr<BackendLink> link = take_idle(entry);
  if (!link || !link->is_open()) {
    std::optional<Refusal> refusal;
    const BackendAddress address{entry.endpoint, entry.group, entry.name};
    link = co_await dialer_.open(address, deadline, refusal, reason);
    // The backend runs: its connections are taken, for example by proxies that ended a moment ago.
    if (refusal == Refusal::kConnectionLimit) reason.code = ReasonCode::kOverloaded;
  }
  if (!link) co_return std::nullopt;
  runtime::SendState sent = runtime::SendState::kNotSent;
  const auto answer = co_await link->run(std::move(request), deadline, sent, reason);
  if (!answer) co_return std::nullopt;
  idle_[entry.name] = IdleLink{entry.incarnation(), link};
  if (answer->refusal) {
    reason = Reason{ReasonCode::kOverloaded, kAskStatusStep, link->peer(), refusal_name(*answer->refusal)};
    co_return std::nullopt;
  }
  co_return link->read_status(*answer, reason);
}

Awaitable<void> GroupProber::query_one(std::shared_ptr<GroupQuery> group_query, std::size_t index) {
  Reason reason;
  const registry::BackendEntry entry = group_query->findings[index].entry;
  const TimePoint deadline = runtime_.now() + kStatusTimeout;
  if (!group_query->findings[index].has_ended) {
    const auto status = co_await query(entry, deadline, reason);
    group_query->findings[index].status = status;
    group_query->findings[index].is_busy = !status && reason.code == ReasonCode::kOverloaded;
  }
  --group_query->unanswered;
  group_query->answered.notify_all();
}

Awaitable<std::vector<MemberFinding>> GroupProber::query_all(std::vector<MemberFinding> members,
                                                             StopCondition stop_early) {
  const auto group_query = std::make_shared<GroupQuery>(runtime_);
  group_query->findings = std::move(members);
  group_query->unanswered = group_query->findings.size();
  for (std::size_t index = 0; index < group_query->findings.size(); ++index)
    runtime_.spawn("group_probe", query_one(group_query, index));
  while (group_query->unanswered > 0 && !(stop_early && stop_early(group_query->findings)))
    co_await group_query->answered.wait();
  co_return group_query->findings;
}

Awaitable<std::vector<MemberFinding>> GroupProber::query_all(std::vector<registry::BackendEntry> entries) {
  std::vector<MemberFinding> members;
  members.reserve(entries.size());
  for (registry::BackendEntry& entry : entries) members.push_back({std::move(entry), std::nullopt});
  co_return co_await query_all(std::move(members));
}

}  // namespace cairnhollow::registered::control
