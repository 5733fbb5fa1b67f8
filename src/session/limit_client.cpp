#include "session/limit_client.h"

#include <algorithm>
#include <utility>

#include "session/knobs.h"

namespace cairnhollow::session {

using tenancy::Grant;
using tenancy::GrantOutcome;

Awaitable<AdmissionAnswer> LimitClient::admit(TenantName tenant) {
  const registry::TenantRule* rule = view_.tenants().find(tenant);
  AdmissionAnswer answer{AdmissionOutcome::kAdmitted, Duration(0), {}};
  const bool is_limited = rule != nullptr && rule->is_limited();
  if (is_limited) answer = co_await take_or_ask(*rule);
  const bool is_named = view_.tenants().is_large(tenant);
  metrics_.count_admission(is_named ? tenant.value : kOtherTenants, answer.outcome);
  co_return answer;
}

Awaitable<AdmissionAnswer> LimitClient::take_or_ask(registry::TenantRule tenant) {
  auto& held = accounts_[tenant.name];
  if (!held) held = std::make_shared<Account>(runtime_);
  const AccountPointer account = held;
  const TimePoint begun = runtime_.now();
  account->stock.note_demand(begun);
  auto token = account->stock.take(begun);
  if (token) co_return AdmissionAnswer{AdmissionOutcome::kAdmitted, Duration(0), token};
  if (begun < account->refused_until) co_return account->last;
  ++account->waiting;
  bool answered = true;
  do {
    if (!std::exchange(account->asking, true)) runtime_.spawn("ask_homes", ask_homes(tenant, account));
    // Where this proxy is the home it has answered by now, before anybody could wait for it.
    if (account->asking) answered = co_await account->answered.wait_until(begun + kAdmissionLimit);
    token = account->stock.take(runtime_.now());
  } while (!token && answered && account->last.outcome == AdmissionOutcome::kAdmitted);
  --account->waiting;
  if (token) co_return AdmissionAnswer{AdmissionOutcome::kAdmitted, Duration(0), token};
  if (!answered) co_return AdmissionAnswer{AdmissionOutcome::kNotCounted, kComeBackAfter, {}};
  co_return account->last;
}

Awaitable<void> LimitClient::ask_homes(registry::TenantRule tenant, AccountPointer account) {
  const TimePoint asked_at = runtime_.now();
  const tenancy::TokenWish wish{std::max<std::uint64_t>(account->waiting, 1),
                                account->stock.expected(asked_at)};
  AdmissionAnswer answer{AdmissionOutcome::kNotCounted, kComeBackAfter, {}};
  for (const routing::ProxyPointer& home : order_of(tenant.name)) {
    const Grant grant = co_await ask(tenant, wish, home);
    if (grant.outcome == GrantOutcome::kNotCounting) continue;
    if (grant.outcome == GrantOutcome::kGranted) {
      account->stock.put(grant.tokens, asked_at);
      answer.outcome = AdmissionOutcome::kAdmitted;
      break;
    }
    answer.outcome = AdmissionOutcome::kOverLimit;
    answer.retry_after = std::min(answer.retry_after, grant.retry_after);
  }
  account->last = answer;
  if (answer.outcome != AdmissionOutcome::kAdmitted) {
    account->last.retry_after = std::clamp<Duration>(answer.retry_after, kLeastRefusalPause, kComeBackAfter);
    account->refused_until = runtime_.now() + kLeastRefusalPause;
  }
  account->asking = false;
  account->answered.notify_all();
}

std::vector<routing::ProxyPointer> LimitClient::order_of(const TenantName& tenant) const {
  auto homes = view_.budgets().homes().of(tenant);
  const TimePoint now = runtime_.now();
  const auto rank = [&](const routing::ProxyPointer& home) {
    const auto silent = silent_until_.find(home->name);
    if (silent != silent_until_.end() && now < silent->second) return 3;
    if (forwarder_.is_unreachable(home->name)) return 3;
    if (home->name == view_.node()) return 0;
    return home->zone == view_.zone() ? 1 : 2;
  };
  std::stable_sort(homes.begin(), homes.end(),
                   [&](const auto& one, const auto& other) { return rank(one) < rank(other); });
  return homes;
}

Awaitable<Grant> LimitClient::ask(registry::TenantRule tenant, tenancy::TokenWish wish,
                                  routing::ProxyPointer home) {
  if (home->name == view_.node()) co_return view_.budgets().grant(tenant, wish, runtime_.now());
  metrics_.count_token_question();
  Reason reason;
  const TimePoint deadline = runtime_.now() + kHomePatience;
  const auto connection = co_await forwarder_.connect(home, deadline, reason);
  std::optional<ForwardAnswer> answer;
  if (connection) {
    ForwardRequest request;
    request.body = ForwardTokens{tenant.name, wish.needed, wish.ahead};
    answer = co_await connection->call(std::move(request), deadline, reason);
  }
  if (answer) co_return answer->grant;
  silent_until_[home->name] = runtime_.now() + kAvoidProxy;
  runtime_.logger().log(runtime::LogLevel::kWarning, "tokens_not_granted", reason,
                        {{"tenant", tenant.name.value}, {"home", home->name.value}});
  co_return Grant{};
}

void LimitClient::give_back(const TenantName& tenant, TimePoint expires_at) {
  const auto found = accounts_.find(tenant);
  if (found != accounts_.end()) found->second->stock.give_back(expires_at);
}

}  // namespace cairnhollow::session
