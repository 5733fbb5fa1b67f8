// What a proxy counts for what it is an owner of: tenants and cold backends.
//
// Invariant: at any moment at most kQuotaOwners proxies grant tokens of one limited thing, each from a bucket
// that was empty when it became an owner. A proxy grants only
// - while control confirmed its copy of the membership less than kBudgetAuthority ago, counted from the
//   question, and
// - when control has said that every proxy which may act on a membership older than the one that made it a
//   owner has learned of that, or has been without a confirmation for longer (registry::ProxyUpdate's
//   stable_revision).
// So the one whose place it took has stopped. tests/limits/quota_ledger_test.cpp plays changes of membership,
// cuts, freezes and restarts and counts what runs in every window.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "registered/limits/owner_share.h"
#include "registered/limits/quota_owners.h"
#include "registered/limits/token_bucket.h"

namespace cairnhollow::registered::limits {

enum class GrantOutcome : std::uint8_t {
  kGranted,
  kEmpty,       ///< what may pass has passed; `retry_after` says when there will be more
  kNotCounting  ///< this proxy may not count for it now
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

/// Tokens asked for: those that are waited for, and more for those that are likely to come soon.
struct TokenRequest {
  std::uint64_t needed = 0;
  std::uint64_t ahead = 0;  ///< granted only while there are plenty
};

class QuotaLedger {
 public:
  explicit QuotaLedger(NodeName node) : node_(std::move(node)) {}

  /// The membership of `revision` holds from now on, on this proxy.
  void set_owners(QuotaOwners owners, std::uint64_t revision);
  /// `confirmed_at`: when control was asked the question that it answered last. `stable_revision`: nobody
  /// acts on an older membership any more.
  void record_confirmed(TimePoint confirmed_at, std::uint64_t stable_revision, TimePoint now);
  [[nodiscard]] const QuotaOwners& owners() const { return owners_; }

  /// A limit was `former` until now. One that was lowered is counted with as it was for a while
  /// (LimitWindow::lowered_after).
  void record_limit(const Limit& former, const Limit& limit, TimePoint now);
  Grant grant(const Limit& limit, const TokenRequest& request, TimePoint now);

 private:
  struct Count {
    std::uint64_t owner_since = 0;  ///< revision of the membership that made this proxy an owner
    std::optional<TokenBucket> bucket;
  };

  /// What a limit was before it was lowered.
  struct FormerLimit {
    double rate_per_s = 0;
    double burst = 0;
    TimePoint until{};
  };

  [[nodiscard]] bool may_count(const Count& count, TimePoint now) const;
  /// What an owner counts with now.
  OwnerShare share_of(const Limit& limit, TimePoint now);

  NodeName node_;
  QuotaOwners owners_;
  std::uint64_t revision_ = 0;
  std::map<LimitedName, Count> counts_;
  std::map<LimitedName, FormerLimit> former_;
  std::optional<TimePoint> confirmed_at_;
  std::uint64_t stable_revision_ = 0;
  /// Since when nobody acts on an older membership than this proxy's; empty: somebody may.
  std::optional<TimePoint> settled_since_;
};

}  // namespace cairnhollow::registered::limits
