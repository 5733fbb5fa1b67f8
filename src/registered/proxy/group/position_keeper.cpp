#include "registered/proxy/group/position_keeper.h"

#include "registered/proxy/knobs.h"

namespace cairnhollow::registered::proxy {

void PositionKeeper::start() { runtime_.spawn("position_keeper", run()); }

Awaitable<void> PositionKeeper::run() {
  while (!stopping_) {
    co_await runtime_.sleep_for(kWatchTick);
    // Without tenants every proxy that serves a group sees its primary's answers.
    if (view_.requires_keys()) ask_where_due();
  }
}

void PositionKeeper::ask_where_due() {
  for (const auto& [name, group] : view_.groups()) {
    if (!group->positions.is_question_due() || !view_.holds_lease_for(*group)) continue;
    const auto primary = group->standing.primary();
    if (!primary || !asking_.insert(name).second) continue;
    runtime_.spawn("ask_position", ask(group, primary));
  }
}

Awaitable<void> PositionKeeper::ask(std::shared_ptr<GroupAccess> group, std::shared_ptr<BackendUse> primary) {
  const registry::GroupTerm term = group->term();
  TimePoint asked_at{};
  const auto position = co_await position_of(primary, term.term, asked_at);
  // Only while the term is open does the answer cover all that was acknowledged before the question.
  if (position && view_.may_use_primary(*group, term.epoch)) group->positions.record(asked_at, *position);
  asking_.erase(group->name);
}

Awaitable<std::optional<Position>> PositionKeeper::position_of(std::shared_ptr<BackendUse> primary,
                                                               std::uint64_t term, TimePoint& asked_at) {
  const TimePoint deadline = runtime_.now() + kLinkSetupTimeout;
  const LinkDeadlines deadlines{deadline, deadline};
  LinkWish wish;
  wish.any_tenant = true;
  std::optional<Refusal> refusal;
  Reason reason;
  const auto link = co_await primary->pool.acquire(std::move(wish), deadlines, refusal, reason);
  if (!link) co_return std::nullopt;
  asked_at = runtime_.now();
  runtime::SendState sent = runtime::SendState::kNotSent;
  BackendRequest request = AskStatus{};
  const auto answer = co_await link->link().run(std::move(request), deadline, sent, reason);
  std::optional<BackendStatus> status;
  if (answer && !answer->refusal) status = link->link().read_status(*answer, reason);
  primary->pool.release(link);
  if (!status || !status->is_primary || status->term != term) co_return std::nullopt;
  co_return answer->position;
}

}  // namespace cairnhollow::registered::proxy
