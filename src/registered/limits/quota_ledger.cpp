#include "registered/limits/quota_ledger.h"

#include <algorithm>
#include <utility>

#include "registered/registry/budget_authority.h"

namespace cairnhollow::registered::limits {

void QuotaLedger::set_owners(QuotaOwners owners, std::uint64_t revision) {
  owners_ = std::move(owners);
  revision_ = revision;
  settled_since_.reset();
  for (auto entry = counts_.begin(); entry != counts_.end();) {
    const bool stays = owners_.is_owner(entry->first, node_) && owners_.was_owner(entry->first, node_);
    entry = stays ? std::next(entry) : counts_.erase(entry);
  }
}

void QuotaLedger::record_confirmed(TimePoint confirmed_at, std::uint64_t stable_revision, TimePoint now) {
  if (!confirmed_at_ || *confirmed_at_ < confirmed_at) confirmed_at_ = confirmed_at;
  stable_revision_ = std::max(stable_revision_, stable_revision);
  if (stable_revision_ >= revision_ && !settled_since_) settled_since_ = now;
}

bool QuotaLedger::may_count(const Count& count, TimePoint now) const {
  const bool confirmed = confirmed_at_ && now - *confirmed_at_ < registry::kBudgetAuthority;
  return confirmed && stable_revision_ >= count.owner_since;
}

void QuotaLedger::record_limit(const Limit& former, const Limit& limit, TimePoint now) {
  const bool is_lower = limit.rate_per_s < former.rate_per_s || limit.burst < former.burst;
  if (!is_lower || !limit.bounds() || !former.bounds()) return;
  // A second reduction does not extend the grace period of the first.
  const auto [held, is_new] = former_.try_emplace(limit.of);
  if (!is_new && now < held->second.until) return;
  held->second = FormerLimit{former.rate_per_s, former.burst, now + limit.window.lowered_after};
}

OwnerShare QuotaLedger::share_of(const Limit& limit, TimePoint now) {
  const auto former = former_.find(limit.of);
  if (former == former_.end()) return owner_share(limit);
  if (now >= former->second.until) {
    former_.erase(former);
    return owner_share(limit);
  }
  Limit counted = limit;
  counted.rate_per_s = std::max(limit.rate_per_s, former->second.rate_per_s);
  counted.burst = std::max(limit.burst, former->second.burst);
  return owner_share(counted);
}

Grant QuotaLedger::grant(const Limit& limit, const TokenRequest& request, TimePoint now) {
  if (!owners_.is_owner(limit.of, node_)) return {};
  auto found = counts_.find(limit.of);
  // First request for this limit: the proxy may be an owner only since the newest membership.
  if (found == counts_.end()) found = counts_.emplace(limit.of, Count{revision_, std::nullopt}).first;
  Count& count = found->second;
  if (!may_count(count, now)) return {};
  if (!count.bucket) {
    const bool is_of_now = count.owner_since == revision_ && settled_since_;
    count.bucket.emplace(is_of_now ? *settled_since_ : now);
  }
  const OwnerShare share = share_of(limit, now);
  Grant grant;
  grant.tokens = count.bucket->take(request.needed, share, now);
  if (grant.tokens == request.needed && count.bucket->is_half_full(share))
    grant.tokens += count.bucket->take(request.ahead, share, now);
  grant.outcome = grant.tokens > 0 ? GrantOutcome::kGranted : GrantOutcome::kEmpty;
  if (grant.tokens == 0) grant.retry_after = count.bucket->time_to_token(share);
  return grant;
}

}  // namespace cairnhollow::registered::limits
