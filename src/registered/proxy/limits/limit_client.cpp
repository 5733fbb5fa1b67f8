#include "registered/proxy/limits/limit_client.h"

#include <algorithm>
#include <utility>

#include "registered/placement/retry_after.h"
#include "registered/tenancy/tenant_limit.h"

namespace cairnhollow::registered::proxy {

using limits::Grant;
using limits::GrantOutcome;

namespace {

ForwardTokens make_token_request(const limits::LimitKey& limited, const limits::TokenRequest& request) {
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
  if (is_limited) answer = co_await take_or_request_token(tenancy::limit_of(*rule, view_.limit_window()));
  const bool is_named = view_.tenants().is_large(tenant);
  metrics_.count_admission(is_named ? tenant.value : kOtherTenantsLabel, answer.outcome);
  co_return answer;
}

Awaitable<AdmissionAnswer> LimitClient::admit_to_cold(BackendName backend) {
  auto limit = view_.cold_limit(backend);
  if (!limit) co_return AdmissionAnswer{AdmissionOutcome::kAdmitted, Duration(0), {}};
  const AdmissionAnswer answer = co_await take_or_request_token(std::move(*limit));
  metrics_.count_cold_statement(answer.outcome);
  co_return answer;
}

Awaitable<AdmissionAnswer> LimitClient::take_or_request_token(limits::Limit limit) {
  auto& account_slot = accounts_[limit.key];
  if (!account_slot) account_slot = std::make_shared<TokenAccount>(runtime_);
  const TokenAccountPointer account = account_slot;
  const TimePoint started_at = runtime_.now();
  account->stock.record_demand(started_at);
  auto token = account->stock.take(started_at);
  if (token) co_return AdmissionAnswer{AdmissionOutcome::kAdmitted, Duration(0), token};
  if (started_at < account->refused_until) co_return account->last;
  ++account->waiting;
  bool answered = true;
  do {
    if (!std::exchange(account->requesting, true))
      runtime_.spawn("ask_homes", request_tokens(limit, account));
    // If this proxy is an owner itself, request_tokens() may finish before spawn() returns.
    answered = !account->requesting;
    if (!answered) answered = co_await account->answered.wait_until(started_at + kAdmissionTimeout);
    token = account->stock.take(runtime_.now());
  } while (!token && answered && account->last.outcome == AdmissionOutcome::kAdmitted);
  --account->waiting;
  if (token) co_return AdmissionAnswer{AdmissionOutcome::kAdmitted, Duration(0), token};
  if (!answered)
    co_return AdmissionAnswer{AdmissionOutcome::kNotCounted, placement::kRetryAfterWithoutPrimary, {}};
  co_return account->last;
}

Awaitable<void> LimitClient::request_tokens(limits::Limit limit, TokenAccountPointer account) {
  const TimePoint asked_at = runtime_.now();
  const limits::TokenRequest request{std::max<std::uint64_t>(account->waiting, 1),
                                     account->stock.expected_demand(asked_at)};
  AdmissionAnswer answer{AdmissionOutcome::kNotCounted, placement::kRetryAfterWithoutPrimary, {}};
  for (const subset::ProxyPointer& owner : owners_by_preference(limit.key)) {
    const Grant grant = co_await request_from(limit, request, owner);
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
        std::clamp<Duration>(answer.retry_after, kMinRefusalPause, placement::kRetryAfterWithoutPrimary);
    account->refused_until = runtime_.now() + kMinRefusalPause;
  }
  account->requesting = false;
  account->answered.notify_all();
}

std::vector<subset::ProxyPointer> LimitClient::owners_by_preference(const limits::LimitKey& limited) const {
  auto owners = view_.quotas().owners().owners_of(limited);
  const TimePoint now = runtime_.now();
  const auto rank = [&](const subset::ProxyPointer& owner) {
    const auto silent = unresponsive_until_.find(owner->name);
    if (silent != unresponsive_until_.end() && now < silent->second) return 3;
    if (forwarder_.is_unreachable(owner->name)) return 3;
    if (owner->name == view_.node()) return 0;
    return owner->zone == view_.zone() ? 1 : 2;
  };
  std::stable_sort(owners.begin(), owners.end(),
                   [&](const auto& one, const auto& other) { return rank(one) < rank(other); });
  return owners;
}

Awaitable<Grant> LimitClient::request_from(limits::Limit limit, limits::TokenRequest request,
                                           subset::ProxyPointer owner) {
  if (owner->name == view_.node()) co_return view_.quotas().grant(limit, request, runtime_.now());
  metrics_.count_token_request();
  Reason reason;
  const TimePoint deadline = runtime_.now() + kOwnerTimeout;
  const auto connection = co_await forwarder_.connect(owner, deadline, reason);
  std::optional<ForwardAnswer> answer;
  if (connection) {
    ForwardRequest forward;
    forward.body = make_token_request(limit.key, request);
    answer = co_await connection->call(std::move(forward), deadline, reason);
  }
  if (answer) co_return answer->grant;
  unresponsive_until_[owner->name] = runtime_.now() + kAvoidProxyFor;
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
