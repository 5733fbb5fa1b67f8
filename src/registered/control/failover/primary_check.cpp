#include "registered/control/failover/primary_check.h"

#include <algorithm>
#include <vector>

#include "registered/registry/division.h"

namespace cairnhollow::registered::control {

using registry::GroupTerm;

bool is_primary_of(const std::optional<BackendStatus>& status, const GroupTerm& term) {
  return status && status->is_primary && status->term == term.term;
}

Awaitable<std::optional<std::string>> PrimaryCheck::confirm(GroupTerm term,
                                                            PrimarySuspicions::Suspected suspected) {
  const registry::BackendEntry* primary = fleet_.find_backend(term.primary);
  if (primary == nullptr) co_return std::nullopt;
  Reason reason;
  bool failed = co_await has_failed(term, *primary, suspected.proxies, reason);
  if (!failed && is_unreachable_for_proxies(suspicions_.count_unable_to_connect(term.group),
                                            serving_proxies(term.group))) {
    failed = co_await log_comparison_.has_provable_successor(term);
    reason = Reason{ReasonCode::kUnreachable, "use_primary", "",
                    "most proxies serving the group cannot connect to the primary"};
  }
  if (!failed && suspected.commits_stall) {
    // Proxies stop reporting once a commit is answered, through whichever replica.
    const bool stalled =
        co_await has_stalled_commits(term) && suspicions_.reports_stalled_commits(term, runtime_.now());
    if (stalled) failed = co_await log_comparison_.has_provable_successor(term);
    if (stalled && !failed) {
      terms_.log(
          "primary_examined", term,
          "commits reach no replica, but no replica could be proved to hold every acknowledged commit; "
          "keeping the primary");
      co_return std::nullopt;
    }
    if (failed) reason = Reason{ReasonCode::kDeadlineExceeded, "replicate", "", "commits reach no replica"};
  }
  if (!failed || !terms_.leads()) {
    terms_.log("primary_examined", term,
               "not replaced: the checks did not fail, no successor is proved, or this node is no longer the "
               "leader");
    co_return std::nullopt;
  }
  co_return reason.failed() ? reason.to_string() : "it is no longer primary of this term";
}

Awaitable<bool> PrimaryCheck::has_failed(GroupTerm term, registry::BackendEntry primary,
                                         std::size_t suspecting_proxies, Reason& reason) {
  bool failed = true;
  // More proxies may report the primary while it is being checked.
  const auto needed = [&] {
    return failed_checks_needed(std::max(suspecting_proxies, suspicions_.count_suspecting(term)));
  };
  for (int check = 0; failed && check < needed(); ++check) {
    if (check > 0) co_await runtime_.sleep_for(kFailedCheckDelay);
    const TimePoint deadline = runtime_.now() + kStatusTimeout;
    const auto status = co_await prober_.query(primary, deadline, reason);
    if (status) full_since_.erase(term.group);
    const bool is_overloaded = !status && reason.code == ReasonCode::kOverloaded;
    const bool is_busy =
        is_overloaded && (reason.step == kAskStatusStep || tolerates_full_primary(term, check));
    failed = !is_busy && !is_primary_of(status, term);
  }
  co_return failed;
}

bool PrimaryCheck::tolerates_full_primary(const GroupTerm& term, int failures) {
  const TimePoint now = runtime_.now();
  auto& [epoch, since] = full_since_[term.group];
  if (since == TimePoint{} || epoch != term.epoch) {
    epoch = term.epoch;
    since = now;
  }
  // A backend may still refuse connections while all that it accepted earlier hang.
  return failures == 0 && now - since < kFullPrimaryTolerance;
}

Awaitable<bool> PrimaryCheck::has_stalled_commits(GroupTerm term) {
  const TimePoint started_at = runtime_.now();
  std::optional<Position> first;
  while (runtime_.now() - started_at < kCommitStallTimeout) {
    const auto findings = co_await prober_.query_all(fleet_.backends_of(term.group));
    Position primary;
    Position furthest;
    for (const MemberFinding& member : findings) {
      if (!member.status) continue;
      if (member.entry.name == term.primary) primary = member.status->received;
      if (member.entry.name != term.primary) furthest = std::max(furthest, member.status->received);
    }
    if (!first) first = primary;
    if (furthest >= *first) co_return false;
    co_await runtime_.sleep_for(kFailoverRetryDelay);
  }
  co_return true;
}

std::size_t PrimaryCheck::serving_proxies(const GroupName& group) const {
  const std::size_t proxies = fleet_.proxy_count();
  const registry::GroupRule* rule = fleet_.find_group(group);
  if (rule == nullptr) return proxies;
  std::vector<std::uint64_t> slots;
  for (const registry::BackendEntry& entry : fleet_.backends_of(group)) slots.push_back(entry.slots);
  return registry::serving_proxies(*rule, slots, proxies, fleet_.requires_keys());
}

}  // namespace cairnhollow::registered::control
