#include "registered/control/failover/promotion_requests.h"

#include <algorithm>
#include <utility>

namespace cairnhollow::registered::control {

using registry::GroupTerm;
using registry::PromotionAttempt;
using registry::PromotionOutcome;

namespace {

std::string milliseconds_of(Duration duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

const char* outcome_name(PromotionOutcome outcome) {
  switch (outcome) {
    case PromotionOutcome::kAccepted:
      return "accepted";
    case PromotionOutcome::kRejected:
      return "rejected";
    case PromotionOutcome::kNotSent:
      return "not_sent";
    case PromotionOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

PromotionRequests::PromotionRequests(runtime::Runtime& runtime, consensus::Consensus& consensus,
                                     const registry::FleetStateMachine& fleet, GroupTerms& terms,
                                     LeaderCalls& calls, registry::PromotionCaller& caller, NodeName node)
    : runtime_(runtime),
      consensus_(consensus),
      fleet_(fleet),
      terms_(terms),
      calls_(calls),
      caller_(caller),
      node_(std::move(node)),
      process_(runtime.random().next() | 1U),
      concluded_(runtime) {}

void PromotionRequests::start() {
  runtime_.spawn("withdraw_earlier_promotions", withdraw_earlier_processes());
}

void PromotionRequests::stop() {
  stopping_ = true;
  const std::vector<RequestPointer> requests = requests_;
  for (const RequestPointer& request : requests) reset(*request, "this process is stopping");
  for (const RequestPointer& request : accepted_) request->ended.notify_all();
}

Awaitable<void> PromotionRequests::conclude_all() {
  const TimePoint give_up_at = runtime_.now() + kPromotionConclusionTimeout;
  while (!requests_.empty() || concluding_ > 0) {
    const bool concluded = co_await concluded_.wait_until(give_up_at);
    if (!concluded) co_return;
  }
}

Awaitable<bool> PromotionRequests::request(GroupTerm closed, registry::BackendIncarnation chosen) {
  if (in_progress_of(closed.group) >= kMaxPromotionsInProgress) co_return true;
  const BackendName backend = chosen.name;
  const RequestPointer request = co_await attempt(std::move(closed), backend, std::move(chosen));
  const bool may_be_accepted =
      request && (!request->outcome || *request->outcome == PromotionOutcome::kAccepted ||
                  *request->outcome == PromotionOutcome::kUnknown);
  if (!may_be_accepted) co_await runtime_.sleep_for(kFailoverRetryDelay);
  co_return may_be_accepted;
}

Awaitable<PromotionRequests::RequestPointer> PromotionRequests::attempt(
    GroupTerm term, BackendName backend, std::optional<registry::BackendIncarnation> chosen) {
  PromotionAttempt attempt;
  attempt.group = term.group;
  attempt.backend = std::move(backend);
  attempt.holder = node_;
  attempt.fencing = consensus_.term();
  attempt.number = next_number_++;
  attempt.epoch = term.epoch;
  attempt.process = process_;
  const RequestPointer request = co_await connect(std::move(attempt), std::move(chosen));
  if (!request) co_return nullptr;
  const bool authorized = co_await authorize(request);
  if (authorized) {
    runtime_.spawn("send_promotion", send(request));
    const TimePoint give_up_at = runtime_.now() + kPromotionCallTimeout;
    while (!request->outcome && runtime_.now() < give_up_at) co_await request->ended.wait_until(give_up_at);
  } else {
    request->channel->reset();
    end(request, PromotionOutcome::kNotSent,
        {ReasonCode::kNotLeader, "authorize_promotion", "",
         "this node is not certainly the leader, or the decision is no longer current"});
  }
  co_return request;
}

Awaitable<PromotionRequests::RequestPointer> PromotionRequests::connect(
    PromotionAttempt attempt, std::optional<registry::BackendIncarnation> chosen) {
  Reason reason;
  const auto request = std::make_shared<Request>(runtime_);
  request->attempt = std::move(attempt);
  request->chosen = std::move(chosen);
  request->channel = co_await caller_.connect(runtime_.now() + kPromotionConnectTimeout, reason);
  if (!request->channel) {
    ++counts_[static_cast<std::size_t>(PromotionOutcome::kNotSent)];
    log(runtime::LogLevel::kWarning, "promotion_not_sent", *request, reason);
    co_return nullptr;
  }
  requests_.push_back(request);
  co_return request;
}

Awaitable<bool> PromotionRequests::authorize(RequestPointer request) {
  if (!holds_duty(*request)) co_return false;
  Reason reason;
  registry::Command command = registry::BeginPromotion{request->attempt};
  const bool recorded = co_await calls_.propose_as_leader(std::move(command), reason);
  if (!recorded || !fleet_.unsettled_promotions().contains(request->attempt)) co_return false;
  request->barrier_started_at = runtime_.now();
  const bool confirmed = co_await terms_.complete_read_barrier();
  if (!confirmed) co_return false;
  co_return may_send(*request);
}

bool PromotionRequests::may_send(const Request& request) const {
  if (!holds_duty(request) || !request.channel->is_open()) return false;
  if (runtime_.now() - request.barrier_started_at > kMaxReadBarrierAge) return false;
  const auto term = terms_.find(request.attempt.group);
  if (!term || term->epoch != request.attempt.epoch) return false;
  if (!request.chosen) return term->primary == request.attempt.backend;
  const registry::BackendEntry* entry = fleet_.find_backend(request.chosen->name);
  return entry != nullptr && entry->incarnation() == *request.chosen;
}

bool PromotionRequests::holds_duty(const Request& request) const {
  return !stopping_ && terms_.leads() && consensus_.term() == request.attempt.fencing;
}

Awaitable<void> PromotionRequests::send(RequestPointer request) {
  Reason reason;
  PromotionOutcome outcome = PromotionOutcome::kNotSent;
  if (may_send(*request)) {
    request->sent_at = runtime_.now();
    log(runtime::LogLevel::kInfo, "promotion_sent", *request, reason);
    runtime_.spawn("watch_promotion", watch(request));
    const PromotionAttempt& attempt = request->attempt;
    registry::PromotionOrder order{attempt.group, attempt.backend, attempt.holder, attempt.fencing};
    outcome = co_await request->channel->request(std::move(order), runtime_.now() + kPromotionAnswerTimeout,
                                                 reason);
  } else {
    reason = {ReasonCode::kDeadlineExceeded, "send_promotion", "", "the read barrier is too old"};
  }
  request->channel->reset();
  end(request, outcome, reason);
}

Awaitable<void> PromotionRequests::watch(RequestPointer request) {
  while (!request->outcome) {
    if (!holds_duty(*request)) co_return reset(*request, "this node no longer leads");
    if (is_superseded(*request)) co_return reset(*request, "the group has been closed");
    co_await request->ended.wait_until(runtime_.now() + kPromotionAuthorityCheckInterval);
  }
}

bool PromotionRequests::is_superseded(const Request& request) const {
  const auto term = terms_.find(request.attempt.group);
  return !request.chosen && (!term || term->epoch != request.attempt.epoch);
}

void PromotionRequests::reset(Request& request, const char* why) {
  if (request.outcome || request.was_reset) return;
  request.was_reset = true;
  log(runtime::LogLevel::kWarning, "promotion_connection_reset", request,
      {ReasonCode::kNotLeader, "await_promotion_answer", "", why});
  request.channel->reset();
}

void PromotionRequests::end(const RequestPointer& request, PromotionOutcome outcome, const Reason& reason) {
  request->outcome = outcome;
  ++counts_[static_cast<std::size_t>(outcome)];
  std::erase(requests_, request);
  log(outcome == PromotionOutcome::kAccepted ? runtime::LogLevel::kInfo : runtime::LogLevel::kWarning,
      "promotion_ended", *request, reason);
  request->ended.notify_all();
  // A rate limit may reject a request ahead of those that were received before it.
  const bool was_handled = outcome == PromotionOutcome::kAccepted ||
                           (outcome == PromotionOutcome::kRejected && reason.code == ReasonCode::kConflict);
  ++concluding_;
  runtime_.spawn("conclude_promotion", conclude(request, was_handled));
}

Awaitable<void> PromotionRequests::conclude(RequestPointer request, bool answered) {
  bool is_settled = *request->outcome != PromotionOutcome::kUnknown;
  if (is_settled && may_take_effect(*request, answered)) is_settled = co_await wait_for_effect(request);
  registry::SingleCommand command;
  if (is_settled) {
    command = registry::SettlePromotions{{request->attempt}, answered};
  } else {
    command = registry::WithdrawPromotions{{request->attempt}};
  }
  co_await report(std::move(command));
  log(runtime::LogLevel::kInfo, is_settled ? "promotion_settled" : "promotion_withdrawn", *request, {});
  --concluding_;
  concluded_.notify_all();
}

bool PromotionRequests::may_take_effect(const Request& request, bool answered) const {
  // The present primary's promotion changes nothing.
  if (*request.outcome == PromotionOutcome::kAccepted && request.chosen) return true;
  // A withdrawn request for another backend may have been accepted just before this one was answered.
  return answered && fleet_.unsettled_promotions().excludes(request.attempt.group, request.attempt.backend);
}

Awaitable<bool> PromotionRequests::wait_for_effect(RequestPointer request) {
  const TimePoint give_up_at = runtime_.now() + kPromotionEffectTimeout;
  const PromotionAttempt& attempt = request->attempt;
  accepted_.push_back(request);
  bool is_over = false;
  while (!is_over && !stopping_ && runtime_.now() < give_up_at) {
    co_await request->ended.wait_until(give_up_at);
    const auto term = terms_.find(attempt.group);
    // A withdrawn request for another backend may have been accepted just before this one.
    const bool is_only_backend = !fleet_.unsettled_promotions().excludes(attempt.group, attempt.backend);
    is_over = !term || term->epoch != attempt.epoch || (request->took_effect && is_only_backend);
  }
  std::erase(accepted_, request);
  co_return is_over || !stopping_;
}

Awaitable<void> PromotionRequests::report(registry::SingleCommand command) {
  bool committed = false;
  while (!committed) {
    Reason reason;
    committed = co_await calls_.submit_batched(command, reason);
    if (!committed) co_await runtime_.sleep_for(kPromotionReportRetryDelay);
  }
}

Awaitable<void> PromotionRequests::withdraw_earlier_processes() {
  bool committed = false;
  // Earlier processes led no later term than the one recovered from disk. A node with an empty disk has to
  // learn of a term first.
  std::uint64_t term = consensus_.term();
  while (!committed && !stopping_) {
    Reason reason;
    if (term == 0) term = consensus_.term();
    registry::SingleCommand command = registry::WithdrawEarlierPromotions{node_, process_, term};
    if (term > 0) committed = co_await calls_.submit_batched(std::move(command), reason);
    if (!committed) co_await runtime_.sleep_for(kPromotionReportRetryDelay);
  }
}

void PromotionRequests::settle_withdrawn() {
  if (settles_withdrawn_ || stopping_ || !terms_.leads()) return;
  const registry::UnsettledPromotions& unsettled = fleet_.unsettled_promotions();
  std::vector<GroupName> groups = unsettled.groups();
  std::erase_if(groups, [&](const GroupName& group) {
    const auto term = terms_.find(group);
    return !term || !term->open || !unsettled.awaits_answer(group);
  });
  if (groups.empty()) return;
  // In turn, so that a group whose requests fail does not keep the others waiting.
  const auto next = std::upper_bound(groups.begin(), groups.end(), last_settled_);
  last_settled_ = next == groups.end() ? groups.front() : *next;
  settles_withdrawn_ = true;
  runtime_.spawn("settle_withdrawn_promotions", settle_withdrawn_of(*terms_.find(last_settled_)));
}

Awaitable<void> PromotionRequests::settle_withdrawn_of(GroupTerm term) {
  const BackendName primary = term.primary;
  co_await attempt(std::move(term), primary, std::nullopt);
  co_await runtime_.sleep_for(kWithdrawnSettleInterval);
  settles_withdrawn_ = false;
}

void PromotionRequests::record_effect(const GroupName& group, const BackendName& backend) {
  for (const RequestPointer& request : accepted_) {
    if (request->attempt.group != group || request->attempt.backend != backend) continue;
    request->took_effect = true;
    request->ended.notify_all();
  }
}

std::size_t PromotionRequests::in_progress_of(const GroupName& group) const {
  return static_cast<std::size_t>(
      std::count_if(requests_.begin(), requests_.end(),
                    [&](const RequestPointer& request) { return request->attempt.group == group; }));
}

void PromotionRequests::log(runtime::LogLevel level, const char* event, const Request& request,
                            const Reason& reason) {
  const TimePoint now = runtime_.now();
  const bool sent = request.sent_at != TimePoint{};
  const bool has_barrier = request.barrier_started_at != TimePoint{};
  runtime_.logger().log(
      level, event, reason,
      {{"group", request.attempt.group.value},
       {"primary", request.attempt.backend.value},
       {"epoch", std::to_string(request.attempt.epoch)},
       {"fencing", std::to_string(request.attempt.fencing)},
       {"number", std::to_string(request.attempt.number)},
       {"consensus_term", std::to_string(consensus_.term())},
       {"outcome", request.outcome ? outcome_name(*request.outcome) : "pending"},
       {"sent_ms_ago", sent ? milliseconds_of(now - request.sent_at) : ""},
       {"barrier_age_ms", has_barrier ? milliseconds_of(now - request.barrier_started_at) : ""}});
}

}  // namespace cairnhollow::registered::control
