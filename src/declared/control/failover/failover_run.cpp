#include "declared/control/failover/failover_run.h"

#include <fmt/format.h>

#include <algorithm>

#include "declared/control/knobs.h"

namespace cairnhollow::declared::control {

FailoverRun::FailoverRun(runtime::Runtime& runtime, backend::BackendConnector& connector, FailoverPlan plan)
    : runtime_(runtime),
      connector_(connector),
      plan_(std::move(plan)),
      highest_term_(plan_.term),
      answered_(runtime) {
  for (const auto& member : plan_.definition.members) {
    auto participant = std::make_shared<Participant>();
    participant->member = member;
    participants_.push_back(std::move(participant));
  }
}

Awaitable<std::optional<FailoverOutcome>> FailoverRun::run(TimePoint deadline, Reason& reason) {
  const TimePoint started_at = runtime_.now();
  if (plan_.target) {
    const bool prepared = co_await prepare_target(deadline, reason);
    if (!prepared) co_return std::nullopt;
  }
  const bool fenced = co_await fence_majority(reason);
  if (!fenced) co_return std::nullopt;
  const auto granted = grants();
  if (on_fenced_) on_fenced_({granted, refusals()});
  const auto chosen = choose_candidate(granted, plan_.preference);
  if (plan_.target && chosen->backend != *plan_.target) {
    reason = Reason{ReasonCode::kConflict, "choose_candidate", plan_.target->value,
                    chosen->backend.value + " has a higher log position than the target"};
    co_return std::nullopt;
  }
  const TimePoint fenced_at = runtime_.now();
  const bool promoted = co_await promote(find(chosen->backend), reason);
  if (!promoted) co_return std::nullopt;
  for (const auto& participant : participants_) {
    if (participant->member.backend == chosen->backend) continue;
    runtime_.spawn("failover_redirect", redirect(shared_from_this(), participant, *chosen));
  }
  co_return FailoverOutcome{*chosen, plan_.term, granted.size(), fenced_at - started_at,
                            runtime_.now() - fenced_at};
}

Awaitable<std::shared_ptr<backend::BackendConnection>> FailoverRun::connect(ParticipantPointer participant,
                                                                            TimePoint deadline,
                                                                            Reason& reason) {
  if (participant->connection && participant->connection->is_open()) co_return participant->connection;
  const GroupMember member = participant->member;
  auto connection = co_await connector_.open(member.backend, member.endpoint, deadline, reason);
  participant->connection = connection;
  co_return connection;
}

void FailoverRun::request_fence(const ParticipantPointer& participant) {
  if (participant->fence_requested) return;
  participant->fence_requested = true;
  runtime_.spawn("failover_fence", fence(shared_from_this(), participant));
}

Awaitable<void> FailoverRun::fence(std::shared_ptr<FailoverRun> /*self*/, ParticipantPointer participant) {
  const TimePoint deadline = runtime_.now() + plan_.call_timeout;
  Reason reason;
  const auto connection = co_await connect(participant, deadline, reason);
  std::optional<backend::FenceAnswer> answer;
  if (connection) answer = co_await connection->fence(plan_.term, plan_.owner, deadline, reason);
  if (answer) highest_term_ = std::max(highest_term_, answer->term);
  if (answer && answer->granted) {
    participant->granted = answer->last;
  } else if (answer) {
    participant->reason = Reason{ReasonCode::kFenced, "fence", participant->member.backend.value,
                                 fmt::format("the member is at term {}", answer->term)};
  } else {
    participant->reason = reason;
  }
  participant->answered = true;
  answered_.notify_all();
}

Awaitable<bool> FailoverRun::fence_majority(Reason& reason) {
  for (const auto& participant : participants_) {
    if (participant->member.backend != plan_.replaced) request_fence(participant);
  }
  const std::size_t needed = majority_of(plan_.voting_members);
  while (grants().size() < needed && !all_answered()) co_await answered_.wait();
  if (grants().size() < needed) {
    reason = missing_majority_reason();
    co_return false;
  }
  const TimePoint settle_deadline = runtime_.now() + kFenceSettleTime;
  bool in_time = true;
  while (in_time && !all_answered()) in_time = co_await answered_.wait_until(settle_deadline);
  co_return true;
}

Reason FailoverRun::missing_majority_reason() const {
  Reason missing{ReasonCode::kNoQuorum, "fence", "", ""};
  std::string refusals;
  for (const auto& participant : participants_) {
    if (!participant->answered || participant->granted) continue;
    if (participant->reason.code == ReasonCode::kFenced) missing.code = ReasonCode::kFenced;
    missing.peer = participant->member.backend.value;
    refusals += (refusals.empty() ? "" : "; ") + participant->reason.to_string();
  }
  missing.detail = fmt::format("{} of {} members granted term {}: {}", grants().size(), plan_.voting_members,
                               plan_.term, refusals);
  return missing;
}

Awaitable<bool> FailoverRun::prepare_target(TimePoint deadline, Reason& reason) {
  const ParticipantPointer target = find(*plan_.target);
  if (target == nullptr) {
    reason = Reason{ReasonCode::kNotFound, "choose_candidate", plan_.target->value,
                    "the target is not a member of the group"};
    co_return false;
  }
  const TimePoint limit = std::min(deadline, runtime_.now() + kCatchUpTimeout);
  const bool close_enough = co_await catch_up(target, plan_.target_position, limit, reason);
  if (!close_enough) co_return false;
  // From here on, the fenced members reject entries from the old primary; the target still accepts them.
  for (const auto& participant : participants_) {
    const BackendName& backend = participant->member.backend;
    if (backend != plan_.replaced && backend != *plan_.target) request_fence(participant);
  }
  while (!all_answered()) co_await answered_.wait();
  Position highest;
  for (const auto& grant : grants()) highest = std::max(highest, grant.last);
  const bool caught_up = co_await catch_up(target, highest, limit, reason);
  co_return caught_up;
}

Awaitable<bool> FailoverRun::catch_up(ParticipantPointer target, Position position, TimePoint deadline,
                                      Reason& reason) {
  while (true) {
    const TimePoint call_deadline = std::min(deadline, runtime_.now() + plan_.call_timeout);
    const auto connection = co_await connect(target, call_deadline, reason);
    if (!connection) co_return false;
    const auto status = co_await connection->status(call_deadline, reason);
    if (!status) co_return false;
    if (status->last >= position) co_return true;
    if (runtime_.now() + kCatchUpPollInterval >= deadline) break;
    co_await runtime_.sleep_for(kCatchUpPollInterval);
  }
  reason = Reason{
      ReasonCode::kDeadlineExceeded, "catch_up", target->member.backend.value,
      fmt::format("the log of the target did not reach index {} within the time limit", position.index)};
  co_return false;
}

Awaitable<bool> FailoverRun::promote(ParticipantPointer candidate, Reason& reason) {
  const TimePoint deadline = runtime_.now() + plan_.call_timeout;
  const auto connection = co_await connect(candidate, deadline, reason);
  if (!connection) co_return false;
  const bool promoted = co_await connection->promote(plan_.term, plan_.owner, deadline, reason);
  co_return promoted;
}

Awaitable<void> FailoverRun::redirect(std::shared_ptr<FailoverRun> /*self*/, ParticipantPointer participant,
                                      GroupMember primary) {
  // A fence request is still using this member's connection; the group monitor redirects the member later.
  if (participant->fence_requested && !participant->answered) co_return;
  const TimePoint deadline = runtime_.now() + plan_.call_timeout;
  Reason reason;
  const auto connection = co_await connect(participant, deadline, reason);
  if (!connection) co_return;
  const bool follows =
      co_await connection->follow(plan_.term, primary.backend, primary.endpoint, deadline, reason);
  if (!follows) {
    runtime_.logger().log(runtime::LogLevel::kWarning, "redirect_failed", reason,
                          {{"group", plan_.definition.group.value}});
  }
}

FailoverRun::ParticipantPointer FailoverRun::find(const BackendName& backend) const {
  const auto found = std::find_if(participants_.begin(), participants_.end(),
                                  [&](const auto& each) { return each->member.backend == backend; });
  return found == participants_.end() ? nullptr : *found;
}

std::vector<FenceGrant> FailoverRun::grants() const {
  std::vector<FenceGrant> granted;
  for (const auto& participant : participants_) {
    if (participant->granted) granted.push_back({participant->member, *participant->granted});
  }
  return granted;
}

std::vector<Reason> FailoverRun::refusals() const {
  std::vector<Reason> refused;
  for (const auto& participant : participants_) {
    if (participant->answered && !participant->granted) refused.push_back(participant->reason);
  }
  return refused;
}

bool FailoverRun::all_answered() const {
  return std::all_of(participants_.begin(), participants_.end(),
                     [](const auto& each) { return !each->fence_requested || each->answered; });
}

}  // namespace cairnhollow::declared::control
