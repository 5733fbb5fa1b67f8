#include "registered/proxy/group/link_warming.h"

#include "registered/placement/attempt_outcome.h"

namespace cairnhollow::registered::proxy {

namespace {

Awaitable<void> warm(runtime::Runtime* runtime, std::shared_ptr<BackendUse> backend) {
  std::optional<Refusal> refusal;
  Reason reason;
  LinkRequest wish;
  const TimePoint deadline = runtime->now() + kDialTimeout;
  const LinkDeadlines deadlines{deadline, deadline};
  auto link = co_await backend->pool.acquire(std::move(wish), deadlines, refusal, reason);
  if (link) backend->rebirth.record_reached(runtime->now());
  if (!link && !refusal) backend->rebirth.mark_unreachable();
  if (link) backend->pool.release(std::move(link));
  if (!link) backend->avoid_until = runtime->now() + placement::kBackendAvoidanceTime;
}

}  // namespace

bool warm_one(runtime::Runtime& runtime, const GroupAccess& group) {
  for (const auto& [name, use] : group.backends.all()) {
    const placement::BackendFacts facts = group.standing.facts_of(*use, {});
    if (!use->pool.has_no_link() || !placement::may_be_warmed(facts)) continue;
    // A cold one's slots are for statements.
    if (group.cold.is_cold(*use)) continue;
    runtime.spawn("warm_link", warm(&runtime, use));
    return true;
  }
  return false;
}

}  // namespace cairnhollow::registered::proxy
