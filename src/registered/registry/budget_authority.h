// Time limit on a proxy's authority to count operations for a tenant after control confirmed its membership.
#pragma once

#include <chrono>

#include "base/types.h"

namespace cairnhollow::registered::registry {

/// Counted by the proxy from sending its report. Twice the serving lease, so that owners continue to
/// count during a loss of quorum for as long as callers with a key must be served (0.6 of the time within
/// which a removed key must stop working, 5 s on the deployments). Not longer, because a tenant has two
/// thirds of its limit from the failure of an owner until the owner's authority expires.
inline constexpr Duration kBudgetAuthority = std::chrono::seconds(3);
/// Counted by control from receiving the proxy's report. One fiftieth longer, to allow for clock drift.
inline constexpr Duration kBudgetAuthorityWait = kBudgetAuthority + kBudgetAuthority / 50;

}  // namespace cairnhollow::registered::registry
