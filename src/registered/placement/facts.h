// Inputs of the placement decision: facts about the statement, the group's backends, this proxy and the time
// left. Plain values, built right before each decision and never stored.
#pragma once

#include <string_view>
#include <vector>

#include "base/types.h"
#include "subset/subset.h"

namespace cairnhollow::registered::placement {

struct StatementNeed {
  bool reads = false;         ///< the statement, or the transaction that it opens, is read-only
  bool primary_only = false;  ///< for reads: no replica is known to hold the required position
  bool is_forwarded = false;  ///< by another proxy: run here or refused, never forwarded again
  [[nodiscard]] bool needs_primary() const { return !reads || primary_only; }
};

/// A backend's state with respect to one statement. Unknown facts keep their defaults.
struct BackendFacts {
  std::string_view name;  ///< not owned; must outlive the decision
  bool is_primary = false;
  /// It was the primary of a term that is closed; not trusted until a primary is known again.
  bool of_closed_term = false;
  bool leaving = false;                ///< draining; a primary keeps its role for a grace period
  bool leaving_grace_expired = false;  ///< that grace period has ended: not used as primary either
  // Each of the next three excludes the backend from all new work, even as primary.
  bool zone_evacuated = false;
  bool region_allowed = true;
  bool cold_limit_reached = false;
  /// With `zone_evacuated`: the grace period of open transactions has ended, too.
  bool transaction_grace_expired = false;
  bool tried = false;    ///< this statement has been tried there
  bool avoided = false;  ///< it recently failed
  bool refused = false;  ///< it rejects connections now, and this proxy has none
  bool lags = false;     ///< a replica, estimated not to have reached what this statement must see
  double cost = 0;       ///< relative cost of a read there; lower is better
  /// Expected time from now until new work is accepted again; 0: unknown.
  Duration retry_after{0};
};

/// Proxies in order of preference. A null pointer to a list means an empty list.
using ProxyList = std::vector<subset::ProxyPointer>;

/// What this proxy may do in the statement's group, and which proxies could serve instead. The lists are not
/// owned and must outlive the decision.
struct ProxyFacts {
  bool holds_lease = false;          ///< granted by control or by the group's members: it may use the primary
  bool expects_lease = false;        ///< a lease is expected soon
  bool group_open = false;           ///< the group has a known, trusted primary
  bool group_changing = false;       ///< a new primary is expected soon
  bool primary_unreachable = false;  ///< from this proxy
  bool primary_full = false;         ///< it rejects further connections, and this proxy has none
  const ProxyList* serving = nullptr;  ///< proxies that serve the group or the tenant; empty: this proxy does
  const ProxyList* also_serving = nullptr;  ///< the other proxies that serve the group
  const ProxyList* others = nullptr;        ///< all other proxies
};

/// What the statement's remaining time and attempts allow.
struct AttemptAllowance {
  bool may_attempt = true;  ///< time and attempts are left
  bool may_wait = true;     ///< it may wait for a lease, a primary or a backend
  /// The same, since its target latency allows a longer wait than most routes have (wait_budget.h).
  bool may_wait_longer = false;
  bool was_sent = false;  ///< it was already sent to a backend
};

/// Whether a caller's API key is required and valid.
struct KeyFacts {
  bool is_needed = false;
  bool proves_tenant = false;  ///< the same tenant as when the statement arrived
  bool is_confirmed = false;   ///< by control, within the allowed age
};

/// A transaction that is open at a backend, and its next statement.
struct TransactionFacts {
  bool at_primary = false;
  bool read_only = false;
  /// The primary of the term in which it was opened may still be used.
  bool may_use_primary = false;
  bool commits_stall = false;  ///< the statement is a commit, and earlier commits have no answer
  KeyFacts key;
};

/// Facts that are checked again right before a statement is sent to the chosen backend.
struct SendFacts {
  bool needs_primary = false;  ///< the answer is valid only while that primary may be used
  /// The primary of the term in which the backend was chosen may still be used.
  bool may_use_primary = false;
  bool lacks_token = false;  ///< it may have run before, and the tenant's rate limit has no token for a rerun
  KeyFacts key;
};

}  // namespace cairnhollow::registered::placement
