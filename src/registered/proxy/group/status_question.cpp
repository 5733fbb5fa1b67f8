#include "registered/proxy/group/status_question.h"

#include <utility>

namespace cairnhollow::registered::proxy {

Awaitable<std::optional<StatusAnswer>> query_status(runtime::Runtime& runtime,
                                                    std::shared_ptr<BackendState> backend, TimePoint deadline,
                                                    Reason& reason) {
  std::optional<Refusal> refusal;
  const LinkDeadlines deadlines{deadline, deadline};
  LinkRequest link_request;
  link_request.any_tenant = true;
  const auto link = co_await backend->pool.acquire(std::move(link_request), deadlines, refusal, reason);
  if (!link) co_return std::nullopt;
  const TimePoint sent_at = runtime.now();
  runtime::SendState sent = runtime::SendState::kNotSent;
  BackendRequest request = GetStatus{};
  const auto answer = co_await link->link().run(std::move(request), deadline, sent, reason);
  std::optional<BackendStatus> status;
  if (answer && answer->refusal) reason.detail = refusal_name(*answer->refusal);
  if (answer && !answer->refusal) status = link->link().read_status(*answer, reason);
  backend->pool.release(link);
  if (!status) co_return std::nullopt;
  co_return StatusAnswer{*status, answer->position, sent_at};
}

}  // namespace cairnhollow::registered::proxy
