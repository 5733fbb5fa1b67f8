#include "registered/proxy/group/link_warming.h"

#include "registered/placement/attempt_outcome.h"

namespace cairnhollow::registered::proxy {

namespace {

Awaitable<void> warm(runtime::Runtime* runtime, std::shared_ptr<BackendState> backend) {
  std::optional<Refusal> refusal;
  Reason reason;
  LinkRequest link_request;
  const TimePoint deadline = runtime->now() + kDialTimeout;
  const LinkDeadlines deadlines{deadline, deadline};
  auto link = co_await backend->pool.acquire(std::move(link_request), deadlines, refusal, reason);
  if (link) backend->restart_detector.record_reached(runtime->now());
  if (!link && !refusal) backend->restart_detector.mark_unreachable();
  if (link) backend->pool.release(std::move(link));
  if (!link) backend->avoid_until = runtime->now() + placement::kBackendAvoidanceTime;
}

}  // namespace

bool warm_one(runtime::Runtime& runtime, const GroupAccess& group) {
  for (const auto& [name, backend] : group.backends.all()) {
    if (!backend->opens_links_ahead) continue;
    const placement::BackendFacts facts = group.evaluator.facts_of(*backend, {});
    if (!backend->pool.has_no_link() || !placement::may_be_warmed(facts)) continue;
    // The slots of a cold backend are left to statements.
    if (group.cold.is_cold(*backend)) continue;
    runtime.spawn("warm_link", warm(&runtime, backend));
    return true;
  }
  return false;
}

}  // namespace cairnhollow::registered::proxy
