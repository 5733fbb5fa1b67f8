#include "standins/registered/tenant_history.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <set>

#include "registered/limits/owner_share.h"
#include "registered/tenancy/tenant_limit.h"

namespace cairnhollow::standins::registered {

namespace {

bool has_key(const cairnhollow::registered::registry::TenantRule& tenant, const ApiKey& key) {
  return std::find(tenant.keys.begin(), tenant.keys.end(), key) != tenant.keys.end();
}

/// When the tenant's key was removed for good; empty: it never was.
std::optional<TimePoint> removed_at(const TenantHistory& history, const TenantName& tenant,
                                    const ApiKey& key) {
  std::optional<TimePoint> removed;
  bool held = false;
  for (const TenantEra& era : history.eras) {
    if (era.rule.name != tenant) continue;
    const bool holds = has_key(era.rule, key);
    if (held && !holds) removed = era.acknowledged_at;
    if (holds) removed.reset();
    held = holds;
  }
  return removed;
}

/// Tenants that ever had the key.
std::set<TenantName> holders_of(const TenantHistory& history, const ApiKey& key) {
  std::set<TenantName> holders;
  for (const TenantEra& era : history.eras) {
    if (has_key(era.rule, key)) holders.insert(era.rule.name);
  }
  return holders;
}

void check_run(const TenantHistory& history, const TenantBounds& bounds, const SentStatement& sent,
               const RunStatement& run, std::vector<std::string>& violations) {
  const auto holders = holders_of(history, sent.key);
  if (holders.empty()) {
    violations.push_back(fmt::format("{} was run with a key that nobody ever had", run.id));
    return;
  }
  if (holders.count(run.told) == 0) {
    violations.push_back(
        fmt::format("{} was run for {}, which its key does not prove", run.id, run.told.value));
    return;
  }
  const auto removed = removed_at(history, run.told, sent.key);
  if (removed && sent.at > *removed + bounds.key_bound)
    violations.push_back(fmt::format("{} was run for {}, sent {} ms after the removal of its key", run.id,
                                     run.told.value, in_ms(sent.at - *removed)));
}

/// The highest limit that may hold at `at`.
cairnhollow::registered::registry::TenantRule limit_at(const TenantHistory& history, const TenantName& tenant,
                                                       TimePoint at, Duration settles) {
  cairnhollow::registered::registry::TenantRule limit;
  bool is_first = true;
  for (const TenantEra& era : history.eras) {
    if (era.rule.name != tenant) continue;
    const bool is_settled = era.acknowledged_at + settles <= at;
    if (is_first || is_settled) {
      limit = era.rule;
    } else {
      limit.rate_per_s = std::max(limit.rate_per_s, era.rule.rate_per_s);
      limit.burst = std::max(limit.burst, era.rule.burst);
    }
    is_first = false;
  }
  return limit;
}

/// An operation that was run: when its first statement was sent and run.
struct Operation {
  TimePoint sent_at{};
  TimePoint run_at{};
};

void check_windows(const TenantHistory& history, const TenantBounds& bounds, const TenantName& tenant,
                   std::vector<Operation> operations, std::vector<std::string>& violations) {
  std::sort(operations.begin(), operations.end(),
            [](const Operation& one, const Operation& other) { return one.run_at < other.run_at; });
  for (std::size_t last = 0; last < operations.size(); ++last) {
    const TimePoint end = operations[last].run_at;
    const TimePoint begin = end - bounds.window.window;
    const cairnhollow::registered::registry::TenantRule limit =
        limit_at(history, tenant, begin, bounds.limit_settles);
    if (!limit.is_limited()) continue;
    const auto within = std::count_if(
        operations.begin(), operations.begin() + static_cast<std::ptrdiff_t>(last) + 1,
        [&](const Operation& operation) { return operation.sent_at >= begin && operation.run_at <= end; });
    const double allowed = cairnhollow::registered::limits::allowance(
        cairnhollow::registered::tenancy::limit_of(limit, bounds.window));
    if (static_cast<double>(within) <= allowed) continue;
    violations.push_back(
        fmt::format("{} ran {} operations in a window, {} are allowed", tenant.value, within, allowed));
    return;
  }
}

}  // namespace

std::vector<std::string> find_tenant_violations(const TenantHistory& history, const TenantBounds& bounds) {
  std::vector<std::string> violations;
  std::map<std::string, const SentStatement*> sent_by_id;
  for (const SentStatement& sent : history.sent) sent_by_id[sent.id] = &sent;
  std::map<TenantName, std::map<std::string, Operation>> operations;
  for (const RunStatement& run : history.runs) {
    const auto sent = sent_by_id.find(run.id);
    if (sent == sent_by_id.end()) {
      violations.push_back(fmt::format("{} was run and nobody sent it", run.id));
      continue;
    }
    check_run(history, bounds, *sent->second, run, violations);
    operations[run.told].try_emplace(sent->second->operation, Operation{sent->second->at, run.at});
  }
  for (const auto& [tenant, of_tenant] : operations) {
    std::vector<Operation> list;
    for (const auto& [name, operation] : of_tenant) list.push_back(operation);
    check_windows(history, bounds, tenant, std::move(list), violations);
  }
  return violations;
}

}  // namespace cairnhollow::standins::registered
