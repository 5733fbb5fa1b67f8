// What is known when a statement's place is decided: of the statement, of each backend of its group, of this
// proxy, and of how long may be waited. Plain values, made right before the decision and never kept.
#pragma once

#include <string_view>
#include <vector>

#include "base/types.h"
#include "subset/subset.h"

namespace cairnhollow::registered::placement {

struct StatementNeed {
  bool reads = false;         ///< and no more: it, or the transaction that it opens
  bool primary_only = false;  ///< of a read: no replica is known to have what it must see
  bool is_forwarded = false;  ///< by another proxy: it is run here or refused
  [[nodiscard]] bool needs_primary() const { return !reads || primary_only; }
};

/// A backend as it stands to one statement. Who knows nothing of a fact leaves it as it is.
struct BackendFacts {
  std::string_view name;  ///< of the backend, which outlives the decision
  bool is_primary = false;
  bool of_closed_term = false;      ///< it led, and may not be believed until a primary is known again
  bool leaving = false;             ///< it drains; a primary still leads for a while
  bool leaving_grace_over = false;  ///< it has been leaving for so long that it is not used as primary either
  // Each of these keeps all new work away, also from a primary.
  bool zone_evacuated = false;
  bool region_allowed = true;
  bool cold_limit_reached = false;
  /// With `zone_evacuated`: transactions that are open there had their time, too.
  bool transaction_grace_over = false;
  bool tried = false;    ///< by this statement
  bool avoided = false;  ///< it failed a moment ago
  bool refused = false;  ///< it takes no connection now, and this proxy has none
  bool lags = false;     ///< as a replica, for this statement
  double cost = 0;       ///< of a read there; the lower the better
  /// When what keeps new work away is likely to be over, counted from now; 0: not known.
  Duration retry_after{0};
};

/// Proxies in the order in which they are to be asked. Null stands for none.
using ProxyList = std::vector<subset::ProxyPointer>;

/// What this proxy may do in the statement's group, and who could stand in.
struct ProxyFacts {
  bool holds_lease = false;            ///< control's or the members': it may use the primary
  bool expects_lease = false;          ///< soon
  bool group_open = false;             ///< a primary is known that may be believed
  bool group_changing = false;         ///< a primary is to be expected soon
  bool primary_unreachable = false;    ///< from here
  bool primary_full = false;           ///< without a link from here
  const ProxyList* serving = nullptr;  ///< they serve the group, or the tenant there; none: this proxy does
  const ProxyList* also_serving = nullptr;  ///< the others that serve the group as well
  const ProxyList* others = nullptr;        ///< all others
};

/// How far a statement may go on.
struct Patience {
  bool may_try = true;   ///< it has time and attempts left
  bool may_wait = true;  ///< and may wait for somebody who can serve it
  bool offered = false;  ///< a backend that could run it was asked already
};

/// A caller's key, and what it has to prove.
struct KeyFacts {
  bool is_needed = false;
  bool proves_tenant = false;  ///< the same as when the statement came
  bool is_confirmed = false;   ///< by control, lately enough
};

/// A transaction that is open at a backend, and the statement that is to go on in it.
struct TransactionFacts {
  bool at_primary = false;
  bool read_only = false;
  bool may_use_primary = false;  ///< that of the term in which it was opened
  bool commits_stall = false;    ///< and this would be a commit
  KeyFacts key;
};

/// What is asked once more right before a statement goes to the backend that was chosen.
struct SendFacts {
  bool needs_primary = false;    ///< the answer counts only while that primary may be used
  bool may_use_primary = false;  ///< that of the term in which it was chosen
  bool lacks_token = false;      ///< it may have run before, and its tenant has no token for one more
  KeyFacts key;
};

}  // namespace cairnhollow::registered::placement
