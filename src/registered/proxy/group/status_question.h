// The proxy's own questions to the backends of a group, for their status. They carry nothing of any caller,
// so that they go on any tenant's link, and regions that bind statements do not bind them.
#pragma once

#include <memory>
#include <optional>

#include "registered/proxy/group/backend_use.h"

namespace cairnhollow::registered::proxy {

struct StatusAnswer {
  BackendStatus status;
  std::optional<Position> position;  ///< of the backend's log, as every answer of its shows it
  TimePoint sent_at{};               ///< once a link was there
};

/// Empty when there is no link, no answer or a refusal by then; `reason` tells which. `runtime` outlives the
/// question.
Awaitable<std::optional<StatusAnswer>> ask_status(runtime::Runtime& runtime,
                                                  std::shared_ptr<BackendUse> backend, TimePoint deadline,
                                                  Reason& reason);

}  // namespace cairnhollow::registered::proxy
