#include "registered/proxy/limits/limit_client.h"

#include <algorithm>
#include <utility>

#include "registered/placement/retry_after.h"
#include "registered/tenancy/tenant_limit.h"

namespace cairnhollow::registered::proxy {

using limits::Grant;
using limits::GrantOutcome;

namespace {

ForwardTokens question(const limits::LimitKey& limited, const limits::TokenRequest& request) {
  ForwardTokens tokens{TenantName(), request.needed, request.ahead, BackendName()};
  if (limited.kind == limits::LimitKind::kTenant) {
    tokens.tenant = TenantName(limited.name);
  } else {
    tokens.cold_backend = BackendName(limited.name);
  }
  return tokens;
}

}  // namespace

Awaitable<AdmissionAnswer> LimitClient::admit(TenantName tenant) {
  const registry::TenantRule* rule = view_.tenants().find(tenant);
  AdmissionAnswer answer{AdmissionOutcome::kAdmitted, Duration(0), {}};
  const bool is_limited = rule != nullptr && rule->is_limited();
  if (is_limited) answer = co_await take_or_ask(tenancy::limit_of(*rule, view_.limit_window()));
  const bool is_named = view_.tenants().is_large(tenant);
  metrics_.count_admission(is_named ? tenant.value : kOtherTenants, answer.outcome);
  co_return answer;
}

Awaitable<AdmissionAnswer> LimitClient::admit_to_cold(BackendName backend) {
  auto limit = view_.cold_limit(backend);
  if (!limit) co_return AdmissionAnswer{AdmissionOutcome::kAdmitted, Duration(0), {}};
  const AdmissionAnswer answer = co_await take_or_ask(std::move(*limit));
  metrics_.count_cold_statement(answer.outcome);
  co_return answer;
}

Awaitable<AdmissionAnswer> LimitClient::take_or_ask(limits::Limit limit) {
  auto& held = accounts_[limit.key];
  if (!held) held = std::make_shared<Account>(runtime_);
  const AccountPointer account = held;
  const TimePoint begun = runtime_.now();
  account->stock.record_demand(begun);
  auto token = account->stock.take(begun);
  if (token) co_return AdmissionAnswer{AdmissionOutcome::kAdmitted, Duration(0), token};
  if (begun < account->refused_until) co_return account->last;
  ++account->waiting;
  bool answered = true;
  do {
    if (!std::exchange(account->asking, true)) runtime_.spawn("ask_homes", ask_owners(limit, account));
    // Where this process counts itself, all is answered before the spawn returns.
    answered = !account->asking;
    if (!answered) answered = co_await account->answered.wait_until(begun + kAdmissionLimit);
    token = account->stock.take(runtime_.now());
  } while (!token && answered && account->last.outcome == AdmissionOutcome::kAdmitted);
  --account->waiting;
  if (token) co_return AdmissionAnswer{AdmissionOutcome::kAdmitted, Duration(0), token};
  if (!answered)
    co_return AdmissionAnswer{AdmissionOutcome::kNotCounted, placement::kRetryAfterWithoutPrimary, {}};
  co_return account->last;
}

Awaitable<void> LimitClient::ask_owners(limits::Limit limit, AccountPointer account) {
  const TimePoint asked_at = runtime_.now();
  const limits::TokenRequest request{std::max<std::uint64_t>(account->waiting, 1),
                                     account->stock.expected_demand(asked_at)};
  AdmissionAnswer answer{AdmissionOutcome::kNotCounted, placement::kRetryAfterWithoutPrimary, {}};
  for (const subset::ProxyPointer& owner : order_of(limit.key)) {
    const Grant grant = co_await ask(limit, request, owner);
    if (grant.outcome == GrantOutcome::kNotAuthorized) continue;
    if (grant.outcome == GrantOutcome::kGranted) {
      account->stock.add(grant.tokens, asked_at);
      answer.outcome = AdmissionOutcome::kAdmitted;
      break;
    }
    answer.outcome = AdmissionOutcome::kOverLimit;
    answer.retry_after = std::min(answer.retry_after, grant.retry_after);
  }
  account->last = answer;
  if (answer.outcome != AdmissionOutcome::kAdmitted) {
    account->last.retry_after =
        std::clamp<Duration>(answer.retry_after, kLeastRefusalPause, placement::kRetryAfterWithoutPrimary);
    account->refused_until = runtime_.now() + kLeastRefusalPause;
  }
  account->asking = false;
  account->answered.notify_all();
}

std::vector<subset::ProxyPointer> LimitClient::order_of(const limits::LimitKey& limited) const {
  auto owners = view_.quotas().owners().owners_of(limited);
  const TimePoint now = runtime_.now();
  const auto rank = [&](const subset::ProxyPointer& owner) {
    const auto silent = silent_until_.find(owner->name);
    if (silent != silent_until_.end() && now < silent->second) return 3;
    if (forwarder_.is_unreachable(owner->name)) return 3;
    if (owner->name == view_.node()) return 0;
    return owner->zone == view_.zone() ? 1 : 2;
  };
  std::stable_sort(owners.begin(), owners.end(),
                   [&](const auto& one, const auto& other) { return rank(one) < rank(other); });
  return owners;
}

Awaitable<Grant> LimitClient::ask(limits::Limit limit, limits::TokenRequest wanted,
                                  subset::ProxyPointer owner) {
  if (owner->name == view_.node()) co_return view_.quotas().grant(limit, wanted, runtime_.now());
  metrics_.count_token_question();
  Reason reason;
  const TimePoint deadline = runtime_.now() + kOwnerPatience;
  const auto connection = co_await forwarder_.connect(owner, deadline, reason);
  std::optional<ForwardAnswer> answer;
  if (connection) {
    ForwardRequest request;
    request.body = question(limit.key, wanted);
    answer = co_await connection->call(std::move(request), deadline, reason);
  }
  if (answer) co_return answer->grant;
  silent_until_[owner->name] = runtime_.now() + kAvoidProxy;
  runtime_.logger().log(
      runtime::LogLevel::kWarning, "tokens_not_granted", reason,
      {{limits::log_field_name(limit.key.kind), limit.key.name}, {"home", owner->name.value}});
  co_return Grant{};
}

void LimitClient::give_back(const limits::LimitKey& limited, TimePoint expires_at) {
  const auto found = accounts_.find(limited);
  if (found != accounts_.end()) found->second->stock.return_unused(expires_at);
}

}  // namespace cairnhollow::registered::proxy
