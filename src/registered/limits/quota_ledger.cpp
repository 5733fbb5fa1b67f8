#include "registered/limits/quota_ledger.h"

#include <algorithm>
#include <utility>

namespace cairnhollow::registered::limits {

void QuotaLedger::set_owners(QuotaOwners owners, std::uint64_t revision) {
  // Larger parts may be granted only after those of the other owners have ended.
  const bool has_larger_parts =
      owners.owner_count(LimitKind::kTenant) < owners_.owner_count(LimitKind::kTenant);
  owners_ = std::move(owners);
  revision_ = revision;
  stable_since_.reset();
  has_departures_ = has_departures_ || owners_.has_departures();
  for (auto entry = owned_limits_.begin(); entry != owned_limits_.end();) {
    const bool keeps_part = entry->first.kind != LimitKind::kTenant || !has_larger_parts;
    const bool remains_owner =
        keeps_part && owners_.is_owner(entry->first, node_) && owners_.remained_owner(entry->first, node_);
    entry = remains_owner ? std::next(entry) : owned_limits_.erase(entry);
  }
}

void QuotaLedger::record_confirmed(TimePoint confirmed_at, std::uint64_t stable_revision, TimePoint now) {
  if (!confirmed_at_ || *confirmed_at_ < confirmed_at) confirmed_at_ = confirmed_at;
  record_stable(stable_revision, now);
}

void QuotaLedger::record_stable(std::uint64_t stable_revision, TimePoint now) {
  stable_revision_ = std::max(stable_revision_, stable_revision);
  if (stable_revision_ >= revision_) {
    if (!stable_since_) stable_since_ = now;
    has_departures_ = false;
    departure_at_.reset();
  } else if (has_departures_ && !departure_at_) {
    departure_at_ = now;
  }
}

Grant QuotaLedger::not_authorized(TimePoint now) const {
  Grant grant;
  if (confirmed_at_ && !is_confirmed(now)) {
    grant.retry_after = kAuthorityUnlikely;
  } else if (departure_at_) {
    grant.retry_after = std::max<Duration>(*departure_at_ + kDepartureWait - now, Duration(0));
  }
  return grant;
}

bool QuotaLedger::is_confirmed(TimePoint now) const {
  return confirmed_at_ && now - *confirmed_at_ < registry::kBudgetAuthority;
}

bool QuotaLedger::may_grant(const OwnedLimit& owned, TimePoint now) const {
  return is_confirmed(now) && stable_revision_ >= owned.owner_since;
}

void QuotaLedger::record_limit_change(const Limit& previous, const Limit& limit, TimePoint now) {
  const bool is_lower = limit.rate_per_s < previous.rate_per_s || limit.burst < previous.burst;
  if (!is_lower || !limit.is_enabled() || !previous.is_enabled()) return;
  // A second reduction does not extend the grace period of the first.
  const auto [entry, inserted] = previous_limits_.try_emplace(limit.key);
  if (!inserted && now < entry->second.until) return;
  entry->second =
      PreviousLimit{previous.rate_per_s, previous.burst, now + limit.window.lowering_grace_period};
}

OwnerShare QuotaLedger::share_of(const Limit& limit, TimePoint now) {
  const auto previous = previous_limits_.find(limit.key);
  const std::size_t owners = owners_.owner_count(limit.key.kind);
  if (previous == previous_limits_.end()) return owner_share(limit, owners);
  if (now >= previous->second.until) {
    previous_limits_.erase(previous);
    return owner_share(limit, owners);
  }
  Limit effective = limit;
  effective.rate_per_s = std::max(limit.rate_per_s, previous->second.rate_per_s);
  effective.burst = std::max(limit.burst, previous->second.burst);
  return owner_share(effective, owners);
}

Grant QuotaLedger::grant(const Limit& limit, const TokenRequest& request, TimePoint now) {
  if (!owners_.is_owner(limit.key, node_)) return {};
  auto found = owned_limits_.find(limit.key);
  // First request for this limit: the proxy may be an owner only since the newest membership.
  if (found == owned_limits_.end())
    found = owned_limits_.emplace(limit.key, OwnedLimit{revision_, std::nullopt}).first;
  OwnedLimit& owned = found->second;
  if (!may_grant(owned, now)) return not_authorized(now);
  if (!owned.bucket) {
    const bool is_owner_since_newest = owned.owner_since == revision_ && stable_since_;
    owned.bucket.emplace(is_owner_since_newest ? *stable_since_ : now);
  }
  const OwnerShare share = share_of(limit, now);
  Grant grant;
  grant.tokens = owned.bucket->take(request.needed, share, now);
  if (grant.tokens == request.needed && owned.bucket->is_half_full(share))
    grant.tokens += owned.bucket->take(request.ahead, share, now);
  grant.outcome = grant.tokens > 0 ? GrantOutcome::kGranted : GrantOutcome::kEmpty;
  if (grant.tokens == 0) grant.retry_after = owned.bucket->time_to_token(share);
  return grant;
}

}  // namespace cairnhollow::registered::limits
