// Grants tokens for the limits that a proxy owns: those of tenants and of cold backends.
//
// Invariant: at any moment the parts of the proxies that grant tokens of one limit add up to at most the
// whole limit, each from a bucket that was empty when the proxy became an owner. A proxy grants only
// - while control has confirmed its copy of the membership less than kBudgetAuthority ago, counted from the
//   time of the request to control, and
// - after control has reported that every proxy that may act on an older membership than the one that made
//   this proxy an owner has received that one, or has been without a confirmation for longer than
//   kBudgetAuthority (stable_revision of registry::ProxyUpdate).
// The owner that it replaced has therefore stopped granting. If the number of owners changes, smaller parts
// count immediately and larger ones like those of new owners. tests/registered/limits/quota_ledger_test.cpp
// simulates membership changes, partitions, freezes and restarts, and counts the operations in every window.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "registered/limits/owner_share.h"
#include "registered/limits/quota_owners.h"
#include "registered/limits/token_bucket.h"
#include "registered/registry/budget_authority.h"

namespace cairnhollow::registered::limits {

/// How long a proxy that noticed the departure of others is likely to wait until their authority has ended: a
/// departure is noticed at the end of a serving lease, which is half of that authority.
inline constexpr Duration kDepartureWait = registry::kBudgetAuthority / 2;
/// Grant::retry_after of an owner that control does not reach: nothing tells when it may grant again.
inline constexpr Duration kAuthorityUnlikely = registry::kBudgetAuthority;

enum class GrantOutcome : std::uint8_t {
  kGranted,
  kEmpty,         ///< no token available; see Grant::retry_after
  kNotAuthorized  ///< this proxy may not grant tokens of this limit at present
};

struct Grant {
  GrantOutcome outcome = GrantOutcome::kNotAuthorized;
  std::uint64_t tokens = 0;
  /// kEmpty: time to the next token. kNotAuthorized: likely time until this proxy may grant; 0: unknown.
  Duration retry_after{0};
  bool operator==(const Grant&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    auto nanoseconds = retry_after.count();
    archive(outcome, tokens, nanoseconds);
    retry_after = Duration(nanoseconds);
  }
};

/// Numbers of tokens requested.
struct TokenRequest {
  std::uint64_t needed = 0;  ///< for operations that are waiting
  std::uint64_t ahead = 0;   ///< for expected operations; granted only while the bucket is at least half full
};

class QuotaLedger {
 public:
  explicit QuotaLedger(NodeName node) : node_(std::move(node)) {}

  /// Replaces the membership of this proxy by that of `revision`. Keeps the buckets of limits that this proxy
  /// has owned without interruption, and drops all others.
  void set_owners(QuotaOwners owners, std::uint64_t revision);
  /// `confirmed_at`: when the request was sent that control has just answered. `stable_revision`: no proxy
  /// acts on an older membership any more.
  void record_confirmed(TimePoint confirmed_at, std::uint64_t stable_revision, TimePoint now);
  /// As record_confirmed(), for news that answers no request and so extends no authority.
  void record_stable(std::uint64_t stable_revision, TimePoint now);
  [[nodiscard]] const QuotaOwners& owners() const { return owners_; }

  /// Records the change of a limit from `previous` to `limit`. If it was lowered, `previous` stays in
  /// force for LimitWindow::lowering_grace_period.
  void record_limit_change(const Limit& previous, const Limit& limit, TimePoint now);
  Grant grant(const Limit& limit, const TokenRequest& request, TimePoint now);

 private:
  struct OwnedLimit {
    std::uint64_t owner_since = 0;  ///< revision of the membership that made this proxy an owner
    std::optional<TokenBucket> bucket;
  };

  /// The previous value of a lowered limit, in force before `until`.
  struct PreviousLimit {
    double rate_per_s = 0;
    double burst = 0;
    TimePoint until{};
  };

  [[nodiscard]] bool is_confirmed(TimePoint now) const;
  [[nodiscard]] bool may_grant(const OwnedLimit& owned, TimePoint now) const;
  /// Returns the answer of an owner that may not grant.
  [[nodiscard]] Grant not_authorized(TimePoint now) const;
  /// Returns the share of one owner at `now`, considering the previous value of a lowered limit.
  OwnerShare share_of(const Limit& limit, TimePoint now);

  NodeName node_;
  QuotaOwners owners_;
  std::uint64_t revision_ = 0;
  std::map<LimitKey, OwnedLimit> owned_limits_;
  std::map<LimitKey, PreviousLimit> previous_limits_;
  std::optional<TimePoint> confirmed_at_;
  std::uint64_t stable_revision_ = 0;
  /// Time since which no proxy acts on a membership older than revision_; std::nullopt while one may.
  std::optional<TimePoint> stable_since_;
  bool has_departures_ = false;  ///< proxies departed, and the revision has not been stable since
  /// First confirmation since a departure without a stable revision.
  std::optional<TimePoint> departure_at_;
};

}  // namespace cairnhollow::registered::limits
