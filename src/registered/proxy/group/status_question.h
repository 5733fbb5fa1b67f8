// Status queries that the proxy itself sends to a group's backends. They carry no caller data, so they may
// use a link of any tenant, and region restrictions on statements do not apply to them.
#pragma once

#include <memory>
#include <optional>

#include "registered/proxy/group/backend_use.h"

namespace cairnhollow::registered::proxy {

struct StatusAnswer {
  BackendStatus status;
  std::optional<Position> position;  ///< of the backend's log, as in each of its answers
  TimePoint sent_at{};               ///< after the link was acquired
};

/// Returns std::nullopt if there was no link, no answer or a refusal by `deadline`; `reason` tells which.
/// `runtime` must outlive the query.
Awaitable<std::optional<StatusAnswer>> query_status(runtime::Runtime& runtime,
                                                    std::shared_ptr<BackendState> backend, TimePoint deadline,
                                                    Reason& reason);

}  // namespace cairnhollow::registered::proxy
