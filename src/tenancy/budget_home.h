// What a proxy counts for the tenants whose home it is.
//
// Invariant: at any moment at most kHomes proxies grant a tenant's tokens, each from a bucket that was empty
// when it became a home. A proxy grants only
// - while control confirmed its copy of the membership less than kBudgetAuthority ago, counted from the
//   question, and
// - when control has said that every proxy which may act on a membership older than the one that made it a
//   home has learned of that, or has been without a confirmation for longer (registry::ProxyUpdate's
//   settled_revision).
// So the one whose place it took has stopped. tests/tenancy/budget_home_test.cpp plays changes of membership,
// cuts, freezes and restarts and counts what runs in every window.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "registry/model.h"
#include "tenancy/budget_homes.h"
#include "tenancy/limit_budget.h"
#include "tenancy/token_bucket.h"

namespace cairnhollow::tenancy {

enum class GrantOutcome : std::uint8_t {
  kGranted,
  kEmpty,       ///< the tenant has used what it may; `retry_after` says when there will be more
  kNotCounting  ///< this proxy may not count for the tenant now
};

struct Grant {
  GrantOutcome outcome = GrantOutcome::kNotCounting;
  std::uint64_t tokens = 0;
  Duration retry_after{0};
  bool operator==(const Grant&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    auto nanoseconds = retry_after.count();
    archive(outcome, tokens, nanoseconds);
    retry_after = Duration(nanoseconds);
  }
};

/// Tokens asked for: those that operations wait for, and more for those that are likely to come soon.
struct TokenWish {
  std::uint64_t needed = 0;
  std::uint64_t ahead = 0;  ///< granted only while there are plenty
};

class BudgetHome {
 public:
  BudgetHome(NodeName node, LimitWindow window) : node_(std::move(node)), window_(window) {}

  /// The membership of `revision` holds from now on, on this proxy.
  void set_homes(BudgetHomes homes, std::uint64_t revision);
  /// `confirmed_at`: when control was asked the question that it answered last. `settled_revision`: nobody
  /// acts on an older membership any more.
  void note_confirmed(TimePoint confirmed_at, std::uint64_t settled_revision, TimePoint now);
  [[nodiscard]] const BudgetHomes& homes() const { return homes_; }

  /// The tenant's limit was `former` until now.
  void note_limit(const registry::TenantRule& former, const registry::TenantRule& tenant, TimePoint now);
  Grant grant(const registry::TenantRule& tenant, const TokenWish& wish, TimePoint now);

 private:
  struct Count {
    std::uint64_t home_since = 0;  ///< revision of the membership that made this proxy a home
    std::optional<TokenBucket> bucket;
  };

  /// A limit that was lowered a moment ago.
  struct FormerLimit {
    std::uint64_t rate_per_s = 0;
    std::uint64_t burst = 0;
    TimePoint until{};
  };

  [[nodiscard]] bool may_count(const Count& count, TimePoint now) const;
  /// What the home counts with now.
  HomeBudget budget_of(const registry::TenantRule& tenant, TimePoint now);

  NodeName node_;
  LimitWindow window_;
  BudgetHomes homes_;
  std::uint64_t revision_ = 0;
  std::map<TenantName, Count> counts_;
  std::map<TenantName, FormerLimit> former_;
  std::optional<TimePoint> confirmed_at_;
  std::uint64_t settled_revision_ = 0;
  /// Since when nobody acts on an older membership than this proxy's; empty: somebody may.
  std::optional<TimePoint> settled_since_;
};

}  // namespace cairnhollow::tenancy
