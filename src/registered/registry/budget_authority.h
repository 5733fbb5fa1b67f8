// How long a proxy may count operations for a tenant after control confirmed its membership.
#pragma once

#include <chrono>

#include "base/types.h"

namespace cairnhollow::registered::registry {

/// Counted by the proxy from its question to control. Twice control's lease: while control has no quorum the
/// homes go on counting for as long as callers with a key are owed service (0.6 of the time in which a
/// removed key must end, 5 s on the deployments). Longer: a tenant whose home was lost has two thirds of its
/// limit until that home's time is over.
inline constexpr Duration kBudgetAuthority = std::chrono::seconds(3);
/// Counted by control from the proxy's question, as it received it. A fiftieth more, for clocks that do not
/// run alike.
inline constexpr Duration kBudgetAuthorityWait = kBudgetAuthority + kBudgetAuthority / 50;

}  // namespace cairnhollow::registered::registry
