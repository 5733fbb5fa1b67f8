#include "declared/proxy/forwarding/forwarder.h"

#include <algorithm>

#include "declared/proxy/knobs.h"

namespace cairnhollow::declared::proxy {

using routing::ForwardTarget;
using runtime::HttpResponse;
using runtime::SendState;

namespace {

constexpr unsigned kOk = 200;

bool is_declined(ReasonCode code) {
  return code == ReasonCode::kDraining || code == ReasonCode::kLeaseExpired;
}

}  // namespace

std::vector<ForwardTarget> forward_targets(const routing::GroupView& group, const ProxySettings& settings) {
  std::vector<ForwardTarget> targets;
  for (const auto& proxy : subset::forwarding_order(group.serving_proxies, settings.node, settings.zone)) {
    if (proxy->name != settings.node) targets.push_back(ForwardTarget{proxy->name, proxy->endpoint});
  }
  return targets;
}

std::vector<ForwardTarget> Forwarder::targets(const GroupName& group_name) {
  const auto view = state_.serving.view();
  const auto group = routing::find_group(*view, group_name);
  if (group == nullptr) return {};
  auto targets = forward_targets(*group, state_.settings);
  const TimePoint now = state_.runtime.now();
  std::stable_partition(targets.begin(), targets.end(), [&](const ForwardTarget& target) {
    const auto avoided = avoided_.find(target.proxy);
    return avoided == avoided_.end() || avoided->second.until <= now;
  });
  return targets;
}

void Forwarder::avoid(const ForwardTarget& target) {
  auto& avoided = avoided_[target.proxy];
  avoided.pause = std::clamp<Duration>(2 * avoided.pause, kHopAvoidTime, kHopAvoidTimeLimit);
  avoided.until = state_.runtime.now() + avoided.pause;
  pool_.close_idle(target.endpoint);
}

void Forwarder::begin_trial(const ForwardTarget& target) {
  const auto avoided = avoided_.find(target.proxy);
  if (avoided != avoided_.end()) avoided->second.until = state_.runtime.now() + kHopAvoidTimeLimit;
}

TimePoint Forwarder::answer_by(TimePoint deadline, bool leaves_no_trace) const {
  const TimePoint now = state_.runtime.now();
  const Duration left = std::max(Duration(0), deadline - now);
  if (leaves_no_trace) return now + left / 2;
  return deadline - std::min<Duration>(kHopReserve, left / 4);
}

void Forwarder::record(const HopCall& call, const ForwardTarget& target) {
  if (!call.request_id) return;
  routing::Decision decision;
  decision.domain = state_.serving.view()->domain;
  decision.group = call.group;
  decision.forwarded_to = target;
  decisions_.record(call.request_id, decision);
}

Awaitable<std::optional<HttpResponse>> Forwarder::exchange(HopPool::Hop& hop, ForwardTarget target,
                                                           runtime::HttpRequest request, TimePoint answer_by,
                                                           SendState& sent, Reason& reason) {
  sent = SendState::kNotSent;
  const Duration left = answer_by - state_.runtime.now();
  if (left < std::chrono::milliseconds(1)) {
    reason = Reason{ReasonCode::kDeadlineExceeded, "forward", hop.connection().peer(),
                    "the deadline passed before the call was sent"};
    co_return std::nullopt;
  }
  const HopWatch::Exchange watched(watch_, target, hop.connection());
  auto marked = forwarded_request(request, state_.settings.node, left);
  co_return co_await hop.connection().exchange(std::move(marked), answer_by, sent, reason);
}

Awaitable<HopAnswer> Forwarder::forward(HopCall call) {
  auto forwarded = co_await forward_and_keep(std::move(call));
  co_return std::move(forwarded.answer);
}

Awaitable<Forwarder::Forwarded> Forwarder::forward_and_keep(HopCall call) {
  Reason last{ReasonCode::kNoBackend, "forward", call.group.value,
              "this proxy does not serve the group, and no other proxy does"};
  Forwarded forwarded;
  for (const auto& target : targets(call.group)) {
    if (state_.runtime.now() >= call.deadline) break;
    const auto next = co_await attempt(call, target, forwarded, last);
    if (next == AttemptResult::kAnswered) co_return forwarded;
    if (next == AttemptResult::kTryNext) continue;
    ++statistics_.unanswered;
    if (call.query) {
      forwarded.answer = co_await resolve(*call.query, call.group, call.deadline, target, std::move(last));
      co_return forwarded;
    }
    if (!budget_.try_spend(last)) break;
  }
  ++statistics_.refused;
  forwarded.answer = refuse(std::move(last));
  co_return forwarded;
}

Awaitable<Forwarder::AttemptResult> Forwarder::attempt(const HopCall& call, ForwardTarget target,
                                                       Forwarded& forwarded, Reason& last) {
  const TimePoint answer_by = this->answer_by(call.deadline, !call.query.has_value());
  const TimePoint connect_by = std::min(answer_by, state_.runtime.now() + kConnectTimeout);
  forwarded.target = target;
  record(call, target);
  begin_trial(target);
  forwarded.hop = co_await pool_.acquire(target.endpoint, connect_by, last);
  if (!forwarded.hop) {
    if (last.code != ReasonCode::kOverloaded) avoid(target);
    last.step = "forward";
    last.peer = target.proxy.value;
    ++statistics_.unreachable;
    co_return AttemptResult::kTryNext;
  }
  auto sent = SendState::kNotSent;
  auto response = co_await exchange(*forwarded.hop, target, call.request, answer_by, sent, last);
  if (response) {
    const auto next = classify_answer(call, std::move(*response), forwarded, last);
    if (next == AttemptResult::kAnswered) avoided_.erase(target.proxy);
    if (next != AttemptResult::kAnswered) avoid(target);
    co_return next;
  }
  last.peer = target.proxy.value;
  forwarded.hop->connection().close();
  forwarded.hop.reset();
  avoid(target);
  if (sent == SendState::kMaybeSent) co_return AttemptResult::kUnanswered;
  ++statistics_.unreachable;
  co_return AttemptResult::kTryNext;
}

Forwarder::AttemptResult Forwarder::classify_answer(const HopCall& call, HttpResponse response,
                                                    Forwarded& forwarded, Reason& last) {
  const auto problem = response.status == kOk ? std::nullopt : http::parse_problem(response.body);
  if (response.status != kOk && !problem) {
    last = Reason{ReasonCode::kConnectionLost, "forward", forwarded.target.proxy.value,
                  "the proxy's answer is malformed"};
    forwarded.hop->connection().close();
    forwarded.hop.reset();
    return AttemptResult::kUnanswered;
  }
  const bool may_send_again =
      !call.query || (problem && (problem->run_state == http::RunState::kNotRun || call.resent));
  if (problem && is_declined(problem->reason.code) && may_send_again) {
    last = problem->reason;
    forwarded.hop.reset();
    ++statistics_.declined;
    return AttemptResult::kTryNext;
  }
  if (response.status == kOk) budget_.record_success();
  ++statistics_.answered;
  forwarded.answer = to_caller_response(std::move(response));
  return AttemptResult::kAnswered;
}

Awaitable<HopAnswer> Forwarder::resolve(LedgerQuery query, GroupName group, TimePoint deadline,
                                        ForwardTarget unresponsive, Reason cause) {
  const auto request = resolve_request(query);
  while (state_.runtime.now() < deadline) {
    auto order = targets(group);
    std::stable_partition(order.begin(), order.end(),
                          [&](const ForwardTarget& target) { return target.proxy != unresponsive.proxy; });
    for (const auto& target : order) {
      if (state_.runtime.now() >= deadline) break;
      Reason reason;
      auto answer = co_await query_outcome(request, target, deadline, reason);
      if (answer) {
        ++statistics_.resolved;
        co_return std::move(*answer);
      }
      cause = std::move(reason);
    }
    co_await state_.serving.wait_for_change(std::min(deadline, state_.runtime.now() + kResolvePause));
  }
  ++statistics_.unknown;
  Reason unknown{ReasonCode::kOutcomeUnknown, "forward", unresponsive.proxy.value,
                 "sent without an answer, and the outcome is not yet known (" + cause.to_string() +
                     "); query POST /v1/resolve at any proxy"};
  co_return refuse(std::move(unknown), http::RunState::kUnknown);
}

Awaitable<std::optional<HopAnswer>> Forwarder::query_outcome(runtime::HttpRequest query, ForwardTarget target,
                                                             TimePoint deadline, Reason& reason) {
  const TimePoint answer_by = this->answer_by(deadline, true);
  const auto hop = co_await pool_.acquire(
      target.endpoint, std::min(answer_by, state_.runtime.now() + kConnectTimeout), reason);
  if (!hop) {
    avoid(target);
    co_return std::nullopt;
  }
  auto sent = SendState::kNotSent;
  auto response = co_await exchange(*hop, target, std::move(query), answer_by, sent, reason);
  if (!response) {
    hop->connection().close();
    avoid(target);
    co_return std::nullopt;
  }
  avoided_.erase(target.proxy);
  auto resolved = parse_resolve_answer(*response, target.proxy.value, reason);
  if (!resolved) co_return std::nullopt;
  if (resolved->aborted) co_return HopAnswer(std::move(*resolved->aborted));
  co_return HopAnswer(std::move(resolved->response));
}

}  // namespace cairnhollow::declared::proxy
