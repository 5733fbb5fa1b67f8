// Which proxies count for what is limited. Pure: every proxy works it out from the membership that it
// follows.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "registered/limits/limit.h"
#include "subset/subset.h"

namespace cairnhollow::registered::limits {

/// The owners of all that is limited among the proxies that take work, before and after a change.
///
/// Whoever is an owner among `takers` together with `changed` was one before the change as well: rendezvous
/// hashing drops nobody out of a subset when others go. Whoever is an owner among `takers` only has become
/// one, and has to wait until those before have stopped (limits/quota_ledger.h).
class QuotaOwners {
 public:
  QuotaOwners() = default;
  /// `changed`: proxies that came, went or started anew since the view before, also those that came and went.
  QuotaOwners(const std::vector<subset::ProxyPointer>& takers,
              const std::vector<subset::ProxyPointer>& changed);

  /// Up to kQuotaOwners proxies, in different zones as far as possible.
  [[nodiscard]] const std::vector<subset::ProxyPointer>& of(const LimitedName& limited) const;
  [[nodiscard]] bool is_owner(const LimitedName& limited, const NodeName& node) const;
  /// Whether `node`, an owner now, was one all the time.
  [[nodiscard]] bool was_owner(const LimitedName& limited, const NodeName& node) const;

 private:
  subset::SubsetTable takers_;
  subset::SubsetTable with_changed_;
  std::set<NodeName> changed_;
  /// Of those that were asked for: each operation asks, and a membership stays.
  mutable std::map<LimitedName, std::vector<subset::ProxyPointer>> owners_;
};

}  // namespace cairnhollow::registered::limits
