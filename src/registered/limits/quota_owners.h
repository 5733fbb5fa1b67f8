// Selects the proxies that own a limit. Deterministic: every proxy with the same membership selects the same
// owners.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "registered/limits/limit.h"
#include "registered/limits/owner_share.h"
#include "subset/subset.h"

namespace cairnhollow::registered::limits {

/// The owners of all limits among the proxies that accept work, before and after a membership change.
///
/// An owner among `accepting` and `changed` together was an owner before the change as well: rendezvous
/// hashing removes no member from a subset when others leave. An owner among `accepting` only has become one
/// with this change, and must wait until the previous owners have stopped (limits/quota_ledger.h).
class QuotaOwners {
 public:
  QuotaOwners() = default;
  /// `changed`: proxies that joined, left or restarted since the previous view, including those that both
  /// joined and left in between. `tenant_owners`: owners of each tenant's limit in this view.
  QuotaOwners(const std::vector<subset::ProxyPointer>& accepting,
              const std::vector<subset::ProxyPointer>& changed, std::size_t tenant_owners = kQuotaOwners);

  /// Returns the number of parts into which limits of this kind are divided, each for one owner.
  [[nodiscard]] std::size_t owner_count(LimitKind kind) const {
    return kind == LimitKind::kTenant ? tenant_owners_ : kQuotaOwners;
  }
  /// Returns up to owner_count() proxies, in different zones as far as possible.
  [[nodiscard]] const std::vector<subset::ProxyPointer>& owners_of(const LimitKey& key) const;
  [[nodiscard]] bool is_owner(const LimitKey& key, const NodeName& node) const;
  /// Returns whether `node`, which is an owner now, was one without interruption since the previous view.
  [[nodiscard]] bool remained_owner(const LimitKey& key, const NodeName& node) const;
  /// Returns whether a proxy that accepted work in the previous view accepts none now.
  [[nodiscard]] bool has_departures() const { return has_departures_; }

 private:
  subset::SubsetTable accepting_;
  subset::SubsetTable accepting_or_changed_;
  std::size_t tenant_owners_ = kQuotaOwners;
  std::set<NodeName> changed_;
  bool has_departures_ = false;
  /// Cache of owners_of(), which is called for each operation; valid as long as this membership.
  mutable std::map<LimitKey, std::vector<subset::ProxyPointer>> owners_;
};

}  // namespace cairnhollow::registered::limits
