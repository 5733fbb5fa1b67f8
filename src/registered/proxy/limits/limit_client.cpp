#include "registered/proxy/limits/limit_client.h"

#include <fmt/format.h>

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

AdmissionAnswer admitted(std::optional<TimePoint> token) {
  return {AdmissionOutcome::kAdmitted, Duration(0), token, {}};
}

limits::OwnerReply reply_of(const std::optional<Grant>& grant) {
  if (!grant) return limits::OwnerReply::kNoAnswer;
  if (grant->outcome == GrantOutcome::kNotAuthorized) return limits::OwnerReply::kNotAuthorized;
  return grant->outcome == GrantOutcome::kEmpty ? limits::OwnerReply::kEmpty : limits::OwnerReply::kGranted;
}

AdmissionOutcome outcome_of(limits::RoundOutcome outcome) {
  switch (outcome) {
    case limits::RoundOutcome::kGranted:
      return AdmissionOutcome::kAdmitted;
    case limits::RoundOutcome::kOverLimit:
      return AdmissionOutcome::kOverLimit;
    case limits::RoundOutcome::kNotAuthorized:
      return AdmissionOutcome::kNotAuthorized;
    case limits::RoundOutcome::kNoOwnerReached:
      break;
  }
  return AdmissionOutcome::kNoOwnerReached;
}

bool lacks_owner(AdmissionOutcome outcome) {
  return outcome == AdmissionOutcome::kNotAuthorized || outcome == AdmissionOutcome::kNoOwnerReached;
}

}  // namespace

Awaitable<AdmissionAnswer> LimitClient::admit(TenantName tenant, TimePoint wait_until) {
  return admit_tenant(std::move(tenant), {wait_until, true});
}

Awaitable<AdmissionAnswer> LimitClient::admit_again(TenantName tenant) {
  return admit_tenant(std::move(tenant), {runtime_.now() + kAdmissionTimeout, false});
}

Awaitable<AdmissionAnswer> LimitClient::admit_tenant(TenantName tenant, TokenWait wait) {
  const registry::TenantRule* rule = view_.tenants().find(tenant);
  AdmissionAnswer answer = admitted({});
  const bool is_limited = rule != nullptr && rule->is_limited();
  if (is_limited)
    answer = co_await take_or_request_token(tenancy::limit_of(*rule, view_.limit_window()), wait);
  const bool is_named = view_.tenants().is_large(tenant);
  metrics_.count_admission(is_named ? tenant.value : kOtherTenantsLabel, answer.outcome);
  co_return answer;
}

Awaitable<AdmissionAnswer> LimitClient::admit_to_cold(BackendName backend) {
  auto limit = view_.cold_limit(backend);
  if (!limit) co_return admitted({});
  const TokenWait wait{runtime_.now() + kAdmissionTimeout, false};
  AdmissionAnswer answer = co_await take_or_request_token(std::move(*limit), wait);
  metrics_.count_cold_statement(answer.outcome);
  co_return answer;
}

Awaitable<AdmissionAnswer> LimitClient::take_or_request_token(limits::Limit limit, TokenWait wait) {
  auto& account_slot = accounts_[limit.key];
  if (!account_slot) account_slot = std::make_shared<TokenAccount>(runtime_);
  const TokenAccountPointer account = account_slot;
  const TimePoint now = runtime_.now();
  account->stock.record_demand(now);
  const auto token = account->stock.take(now);
  if (token) co_return admitted(token);
  if (now < account->refused_until) co_return account->last;
  if (account->waiting >= kMaxWaitingOperations) co_return not_admitted(*account);
  ++account->waiting;
  AdmissionAnswer answer = co_await wait_for_token(std::move(limit), account, wait);
  --account->waiting;
  co_return answer;
}

Awaitable<AdmissionAnswer> LimitClient::wait_for_token(limits::Limit limit, TokenAccountPointer account,
                                                       TokenWait wait) {
  while (true) {
    const std::uint64_t rounds_before = account->rounds;
    if (!std::exchange(account->requesting, true))
      runtime_.spawn("ask_homes", request_tokens(limit, account));
    // If this proxy is an owner itself, the round may end before spawn() returns.
    bool in_time = true;
    if (account->rounds == rounds_before) in_time = co_await account->answered.wait_until(wait.until);
    const auto token = account->stock.take(runtime_.now());
    if (token) co_return admitted(token);
    const bool round_ended = account->rounds != rounds_before;
    if (round_ended && account->last.outcome == AdmissionOutcome::kOverLimit) co_return account->last;
    if (!in_time || (round_ended && !is_owner_likely(*account, wait))) co_return not_admitted(*account);
  }
}

bool LimitClient::is_owner_likely(const TokenAccount& account, TokenWait wait) const {
  if (account.last.outcome == AdmissionOutcome::kAdmitted) return true;
  // Without a lease this proxy can't run the operation either.
  const bool expects_lease = view_.lease_valid() || view_.expects_lease(false);
  const bool may_wait = wait.beyond_round && account.last.outcome == AdmissionOutcome::kNotAuthorized;
  const bool in_time = account.authorized_in < limits::kAuthorityUnlikely &&
                       runtime_.now() + account.authorized_in < wait.until;
  return may_wait && expects_lease && in_time;
}

AdmissionAnswer LimitClient::not_admitted(const TokenAccount& account) {
  if (lacks_owner(account.last.outcome)) return account.last;
  return {AdmissionOutcome::kNoOwnerReached, placement::kRetryAfterWithoutPrimary, {}, {}};
}

Awaitable<void> LimitClient::request_tokens(limits::Limit limit, TokenAccountPointer account) {
  while (true) {
    co_await run_round(limit, account);
    account->requesting = account->last.outcome == AdmissionOutcome::kNotAuthorized;
    account->answered.notify_all();
    if (!account->requesting) co_return;
    co_await runtime_.sleep_for(kRoundPause);
    account->requesting = account->waiting > 0;
    if (!account->requesting) co_return;
  }
}

Awaitable<void> LimitClient::run_round(limits::Limit limit, TokenAccountPointer account) {
  const auto inquiry = std::make_shared<Inquiry>(runtime_, owners_by_preference(limit.key));
  limits::RoundStep step = inquiry->round.next_step(runtime_.now());
  while (step.action != limits::RoundAction::kEnd) {
    avoid_slow_owners(*inquiry);
    if (step.action == limits::RoundAction::kAsk) {
      runtime_.spawn("ask_home", ask_owner(limit, account, inquiry, step.owner));
    } else {
      co_await inquiry->replied.wait_until(step.until);
    }
    step = inquiry->round.next_step(runtime_.now());
  }
  avoid_slow_owners(*inquiry);
  record_round(*account, *inquiry, limit.key.kind == limits::LimitKind::kTenant);
}

Awaitable<void> LimitClient::ask_owner(limits::Limit limit, TokenAccountPointer account,
                                       InquiryPointer inquiry, std::size_t owner) {
  const TimePoint asked_at = runtime_.now();
  // Tokens for expected operations are requested from the first owner only.
  const std::uint64_t ahead = owner == 0 ? account->stock.expected_demand(asked_at) : 0;
  const limits::TokenRequest request{std::max<std::uint64_t>(account->waiting, 1), ahead};
  const auto grant = co_await request_from(limit, request, inquiry->owners[owner]);
  inquiry->round.record(owner, reply_of(grant));
  if (grant && grant->outcome == GrantOutcome::kEmpty)
    inquiry->retry_after = std::min(inquiry->retry_after, grant->retry_after);
  if (grant && grant->outcome == GrantOutcome::kNotAuthorized)
    inquiry->authorized_in =
        std::min(inquiry->authorized_in.value_or(grant->retry_after), grant->retry_after);
  if (grant && grant->outcome == GrantOutcome::kGranted) {
    account->stock.add(grant->tokens, asked_at);
    account->answered.notify_all();
  }
  inquiry->replied.notify_all();
}

void LimitClient::record_round(TokenAccount& account, const Inquiry& inquiry, bool may_lengthen_pause) {
  ++account.rounds;
  account.last = AdmissionAnswer{outcome_of(inquiry.round.outcome()), Duration(0), {}, {}};
  if (account.last.outcome == AdmissionOutcome::kAdmitted) account.refusal_pause = kMinRefusalPause;
  if (account.last.outcome == AdmissionOutcome::kAdmitted) account.refused_until = TimePoint{};
  if (account.last.outcome == AdmissionOutcome::kAdmitted) return;
  account.authorized_in = inquiry.authorized_in.value_or(Duration(0));
  account.last.retry_after =
      std::clamp<Duration>(inquiry.retry_after, account.refusal_pause, placement::kRetryAfterWithoutPrimary);
  for (std::size_t owner = 0; owner < inquiry.owners.size(); ++owner)
    account.last.asked += fmt::format("{}{}:{}", owner == 0 ? "" : " ", inquiry.owners[owner]->name.value,
                                      limits::owner_reply_name(inquiry.round.reply(owner)));
  // Operations wait for owners that are not authorized yet.
  if (account.last.outcome == AdmissionOutcome::kNotAuthorized) return;
  account.refused_until = runtime_.now() + account.refusal_pause;
  if (may_lengthen_pause && account.last.outcome == AdmissionOutcome::kOverLimit)
    account.refusal_pause = std::min<Duration>(account.refusal_pause * 2, kMaxRefusalPause);
}

void LimitClient::avoid_slow_owners(const Inquiry& inquiry) {
  const TimePoint now = runtime_.now();
  for (std::size_t owner = 0; owner < inquiry.owners.size(); ++owner) {
    if (inquiry.round.is_slow(owner, now)) slow_until_[inquiry.owners[owner]->name] = now + kAvoidProxyFor;
  }
}

std::vector<subset::ProxyPointer> LimitClient::owners_by_preference(const limits::LimitKey& limited) const {
  auto owners =
      subset::forwarding_order(view_.quotas().owners().owners_of(limited), view_.node(), view_.zone());
  const TimePoint now = runtime_.now();
  const auto rank = [&](const subset::ProxyPointer& owner) {
    const int by_distance = owner->name == view_.node() ? 0 : owner->zone == view_.zone() ? 1 : 2;
    const auto slow = slow_until_.find(owner->name);
    const bool is_slow = slow != slow_until_.end() && now < slow->second;
    return by_distance + (is_slow ? 3 : 0) + (forwarder_.is_unreachable(owner->name) ? 6 : 0);
  };
  std::stable_sort(owners.begin(), owners.end(),
                   [&](const auto& one, const auto& other) { return rank(one) < rank(other); });
  return owners;
}

Awaitable<std::optional<Grant>> LimitClient::request_from(limits::Limit limit, limits::TokenRequest request,
                                                          subset::ProxyPointer owner) {
  if (owner->name == view_.node()) co_return view_.quotas().grant(limit, request, runtime_.now());
  metrics_.count_token_request();
  Reason reason;
  const TimePoint deadline = runtime_.now() + limits::kOwnerAnswerWait;
  const auto connection = co_await forwarder_.connect(owner, deadline, reason);
  std::optional<ForwardAnswer> answer;
  if (connection) {
    ForwardRequest forward;
    forward.body = make_token_request(limit.key, request);
    answer = co_await connection->call(std::move(forward), deadline, reason);
  }
  if (answer) co_return answer->grant;
  slow_until_[owner->name] = runtime_.now() + kAvoidProxyFor;
  runtime_.logger().log(
      runtime::LogLevel::kWarning, "tokens_not_granted", reason,
      {{limits::log_field_name(limit.key.kind), limit.key.name}, {"home", owner->name.value}});
  co_return std::nullopt;
}

void LimitClient::give_back(const limits::LimitKey& limited, TimePoint expires_at) {
  const auto found = accounts_.find(limited);
  if (found != accounts_.end()) found->second->stock.return_unused(expires_at);
}

}  // namespace cairnhollow::registered::proxy
