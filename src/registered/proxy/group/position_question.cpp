#include "registered/proxy/group/position_question.h"

#include "registered/proxy/knobs.h"

namespace cairnhollow::registered::proxy {

namespace {

Awaitable<std::optional<BackendStatus>> ask_status(std::shared_ptr<BackendUse> backend, TimePoint deadline) {
  std::optional<Refusal> refusal;
  Reason reason;
  LinkWish wish;
  wish.any_tenant = true;
  const LinkDeadlines deadlines{deadline, deadline};
  const auto link = co_await backend->pool.acquire(std::move(wish), deadlines, refusal, reason);
  if (!link) co_return std::nullopt;
  runtime::SendState sent = runtime::SendState::kNotSent;
  BackendRequest request = AskStatus{};
  const auto answer = co_await link->link().run(std::move(request), deadline, sent, reason);
  std::optional<BackendStatus> status;
  if (answer && !answer->refusal) status = link->link().read_status(*answer, reason);
  backend->pool.release(link);
  co_return status;
}

/// The runtime and the view outlive the process's coroutines.
Awaitable<void> ask(runtime::Runtime* runtime, FleetView* view, std::shared_ptr<GroupAccess> group) {
  const auto leader = group->standing.primary();
  const std::uint64_t epoch = group->term().epoch;
  const TimePoint asked_at = runtime->now();
  std::optional<BackendStatus> status;
  if (leader) status = co_await ask_status(leader, asked_at + kLinkSetupTimeout);
  const bool leads = status && status->is_primary && view->may_use_primary(*group, epoch);
  if (leads) group->positions.record(asked_at, status->received);
  group->positions.end_question();
}

}  // namespace

void ask_position(runtime::Runtime& runtime, FleetView& view, const std::shared_ptr<GroupAccess>& group) {
  if (group->positions.begin_question()) runtime.spawn("ask_position", ask(&runtime, &view, group));
}

}  // namespace cairnhollow::registered::proxy
