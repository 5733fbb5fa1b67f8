#include "registered/control/failover/group_prober.h"

namespace cairnhollow::registered::control {

struct GroupProber::Survey {
  explicit Survey(runtime::Runtime& runtime) : answered(runtime) {}
  std::vector<MemberFinding> findings;
  std::size_t unanswered = 0;
  runtime::Signal answered;
};

Awaitable<std::optional<BackendStatus>> GroupProber::ask(registry::BackendEntry entry, TimePoint deadline,
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

Awaitable<bool> GroupProber::is_another(registry::BackendEntry entry, TimePoint deadline) {
  Reason reason;
  std::optional<Refusal> refusal;
  const BackendAddress address{entry.endpoint, entry.group, entry.name};
  const auto link = co_await dialer_.open(address, deadline, refusal, reason);
  if (link) link->close();
  co_return refusal == Refusal::kWrongBackend;
}

std::shared_ptr<BackendLink> GroupProber::take_idle(const registry::BackendEntry& entry) {
  const auto idle = idle_.find(entry.name);
  if (idle == idle_.end()) return nullptr;
  const IdleLink held = std::move(idle->second);
  idle_.erase(idle);
  if (held.to == entry.incarnation()) return held.link;
  held.link->close();
  return nullptr;
}

void GroupProber::close_idle(const BackendName& backend) {
  const auto idle = idle_.find(backend);
  if (idle == idle_.end()) return;
  const IdleLink held = std::move(idle->second);
  idle_.erase(idle);
  held.link->close();
}

Awaitable<std::optional<BackendStatus>> GroupProber::run(registry::BackendEntry entry, BackendRequest request,
                                                         TimePoint deadline, Reason& reason) {
  std::shared_ptr<BackendLink> link = take_idle(entry);
  if (!link || !link->is_open()) {
    std::optional<Refusal> refusal;
    const BackendAddress address{entry.endpoint, entry.group, entry.name};
    link = co_await dialer_.open(address, deadline, refusal, reason);
  }
  if (!link) co_return std::nullopt;
  runtime::SendState sent = runtime::SendState::kNotSent;
  const auto answer = co_await link->run(std::move(request), deadline, sent, reason);
  if (!answer) co_return std::nullopt;
  idle_[entry.name] = IdleLink{entry.incarnation(), link};
  if (answer->refusal) {
    reason = Reason{ReasonCode::kOverloaded, "ask_status", link->peer(), refusal_name(*answer->refusal)};
    co_return std::nullopt;
  }
  co_return link->read_status(*answer, reason);
}

Awaitable<void> GroupProber::ask_one(std::shared_ptr<Survey> survey, std::size_t place) {
  Reason reason;
  const registry::BackendEntry entry = survey->findings[place].entry;
  const TimePoint deadline = runtime_.now() + kStatusTimeout;
  const auto status = co_await ask(entry, deadline, reason);
  survey->findings[place].status = status;
  --survey->unanswered;
  survey->answered.notify_all();
}

Awaitable<std::vector<MemberFinding>> GroupProber::ask_all(std::vector<MemberFinding> members,
                                                           Enough enough) {
  const auto survey = std::make_shared<Survey>(runtime_);
  survey->findings = std::move(members);
  survey->unanswered = survey->findings.size();
  for (std::size_t place = 0; place < survey->findings.size(); ++place)
    runtime_.spawn("group_probe", ask_one(survey, place));
  while (survey->unanswered > 0 && !(enough && enough(survey->findings))) co_await survey->answered.wait();
  co_return survey->findings;
}

Awaitable<std::vector<MemberFinding>> GroupProber::ask_all(std::vector<registry::BackendEntry> entries) {
  std::vector<MemberFinding> members;
  members.reserve(entries.size());
  for (registry::BackendEntry& entry : entries) members.push_back({std::move(entry), std::nullopt, false});
  co_return co_await ask_all(std::move(members));
}

}  // namespace cairnhollow::registered::control
