#include "declared/follow/follow_client.h"

#include <algorithm>

#include "declared/follow/knobs.h"
#include "wire/codec.h"
#include "wire/hello.h"

namespace cairnhollow::declared::follow {

FollowClient::FollowClient(runtime::Runtime& runtime, FollowClientSettings settings)
    : runtime_(runtime), settings_(std::move(settings)), answered_(runtime), wake_(runtime) {
  current_.reads_updates = settings_.read_updates;
}

void FollowClient::start() { runtime_.spawn("follow_client", run()); }

void FollowClient::stop() {
  stopping_ = true;
  if (link_) link_->connection->close();
  wake_.notify_all();
}

void FollowClient::report_suspect(SuspectPrimary suspect) {
  const auto now = runtime_.now();
  const auto reported = suspects_reported_.find(suspect.group);
  if (reported != suspects_reported_.end() && now < reported->second + kSuspectRepeatInterval) return;
  suspects_reported_[suspect.group] = now;
  suspects_.push_back(std::move(suspect));
  ask_now_ = true;
  wake_.notify_all();
}

void FollowClient::set_load(std::uint64_t in_flight, bool draining) {
  in_flight_ = in_flight;
  if (draining_ == draining) return;
  draining_ = draining;
  ask_now_ = true;
  wake_.notify_all();
}

Awaitable<bool> FollowClient::renew(TimePoint deadline, Reason& reason) {
  const std::uint64_t first_nonce = next_nonce_;
  const std::uint64_t busy_answers = statistics_.busy_answers;
  ++renewals_waiting_;
  ask_now_ = true;
  wake_.notify_all();
  bool in_time = true;
  while (answered_nonce_ < first_nonce && busy_answers == statistics_.busy_answers && in_time && !stopping_) {
    in_time = co_await answered_.wait_until(deadline);
  }
  --renewals_waiting_;
  if (answered_nonce_ >= first_nonce) co_return true;
  reason = last_failure_;
  if (in_time && last_failure_.failed()) co_return false;
  reason = Reason{ReasonCode::kDeadlineExceeded, "renew", followed_peer_, "no answer came in time"};
  co_return false;
}

Awaitable<void> FollowClient::run() {
  while (!stopping_ && !settings_.control_endpoints.empty()) {
    const auto endpoint = settings_.control_endpoints[endpoint_index_ % settings_.control_endpoints.size()];
    Reason reason;
    auto connection =
        co_await runtime_.network().connect(endpoint, runtime_.now() + kFollowConnectTimeout, reason);
    bool was_served = false;
    if (connection) {
      link_ = std::make_shared<Link>();
      link_->connection = std::move(connection);
      followed_peer_ = endpoint.to_string();
      was_served = co_await converse(link_);
      link_->connection->close();
      link_.reset();
      followed_peer_.clear();
    } else {
      last_failure_ = reason;
    }
    if (stopping_) break;
    ++endpoint_index_;
    ++statistics_.moves;
    answered_.notify_all();
    runtime_.logger().log(runtime::LogLevel::kInfo, "control_node_given_up", last_failure_, {});
    co_await pause_after_failure(was_served);
  }
}

Awaitable<void> FollowClient::pause_after_failure(bool was_served) {
  failures_in_a_row_ = was_served ? 1 : failures_in_a_row_ + 1;
  const auto endpoints = std::min(settings_.control_endpoints.size(), kFollowTriesWithoutPause);
  if (failures_in_a_row_ < endpoints) co_return;
  const auto rounds = static_cast<std::int64_t>(failures_in_a_row_ / endpoints);
  const bool refused = last_failure_.code == ReasonCode::kUnsupported;
  const Duration limit = refused ? kFollowRefusedPauseLimit : kFollowRetryPauseLimit;
  const Duration pause = std::min<Duration>(kFollowRetryPause * rounds, limit);
  const TimePoint end = runtime_.now() + runtime_.random().between(pause, 2 * pause);
  // The reader of the connection given up on wakes this as well.
  while (!stopping_ && runtime_.now() < end) co_await wake_.wait_until(end);
}

Awaitable<void> FollowClient::read_frames(std::shared_ptr<Link> link) {
  while (true) {
    Reason reason;
    auto frame = co_await link->connection->receive(reason);
    if (!frame) {
      link->broken = true;
      link->reason = reason;
      wake_.notify_all();
      co_return;
    }
    statistics_.bytes_received += frame->size();
    link->frames.push_back(std::move(*frame));
    wake_.notify_all();
  }
}

Awaitable<bool> FollowClient::send_hello(std::shared_ptr<Link> link) {
  wire::Hello hello;
  hello.conversation = wire::Conversation::kFollow;
  hello.node = settings_.node;
  hello.zone = settings_.zone;
  std::string frame = greeting_.next_frame(hello);
  statistics_.bytes_sent += frame.size();
  Reason reason;
  const bool sent = co_await link->connection->send(std::move(frame), reason);
  if (!sent) last_failure_ = reason;
  co_return sent;
}

Awaitable<bool> FollowClient::converse(std::shared_ptr<Link> link) {
  const bool greeted = co_await send_hello(link);
  if (!greeted) co_return false;
  runtime_.spawn("follow_client_reader", read_frames(link));
  bool was_served = false;
  while (!stopping_) {
    // The first question on a connection is answered at once: the lease may be near its end.
    const double share = kHoldShareLow + (kHoldShareHigh - kHoldShareLow) * runtime_.random().unit();
    const auto interval = static_cast<double>(settings_.follow_interval.count());
    const bool may_hold = was_served && renewals_waiting_ == 0;
    const Duration hold = may_hold ? Duration(static_cast<std::int64_t>(interval * share)) : Duration(0);
    const bool asked = co_await ask(link, hold);
    if (!asked) break;
    const WaitResult result = co_await wait_for_answer(link);
    if (result == WaitResult::kFailed) break;
    if (result == WaitResult::kAskAgain) continue;
    if (result == WaitResult::kBusy) {
      co_await pause_while_busy(link);
      continue;
    }
    was_served = true;
    failures_in_a_row_ = 0;
    co_await pause_before_next_question(link);
  }
  co_return was_served;
}

Awaitable<bool> FollowClient::ask(std::shared_ptr<Link> link, Duration hold) {
  FollowRequest request;
  request.nonce = next_nonce_++;
  request.revision = current_.revision;
  request.news_version = link->news_version;
  request.hold = hold;
  request.suspects = std::exchange(suspects_, {});
  request.in_flight = in_flight_;
  request.draining = draining_;
  ask_now_ = false;
  link->nonce = request.nonce;
  link->asked_at = runtime_.now();
  if (!link->answer_due) link->unanswered_since = link->asked_at;
  link->answer_due = true;
  std::string frame = wire::encode(request);
  ++statistics_.questions;
  statistics_.bytes_sent += frame.size();
  Reason reason;
  const bool sent = co_await link->connection->send(std::move(frame), reason);
  if (!sent) last_failure_ = reason;
  co_return sent;
}

Awaitable<FollowClient::WaitResult> FollowClient::wait_for_answer(std::shared_ptr<Link> link) {
  TimePoint deadline = link->unanswered_since + settings_.follow_timeout;
  link->bytes_seen = link->connection->bytes_received();
  while (true) {
    const WaitResult result = take_frames(*link);
    if (result != WaitResult::kAskAgain) co_return result;
    if (link->broken || stopping_) {
      last_failure_ = link->reason;
      co_return WaitResult::kFailed;
    }
    if (must_ask_now()) co_return WaitResult::kAskAgain;
    const bool notified = co_await wake_.wait_until(deadline);
    if (!notified && is_receiving(*link)) {
      deadline = runtime_.now() + settings_.follow_timeout;
    } else if (!notified && link->frames.empty()) {
      last_failure_ = Reason{ReasonCode::kDeadlineExceeded, "follow", link->connection->peer(),
                             "no answer within the follow timeout"};
      co_return WaitResult::kFailed;
    }
  }
}

bool FollowClient::is_receiving(Link& link) const {
  const std::uint64_t before = std::exchange(link.bytes_seen, link.connection->bytes_received());
  const bool in_time = runtime_.now() < link.unanswered_since + kFirstConfigurationLimit;
  return current_.revision == 0 && link.bytes_seen > before && in_time;
}

Awaitable<void> FollowClient::pause_before_next_question(std::shared_ptr<Link> link) {
  const TimePoint earliest = link->asked_at + kMinimumQuestionInterval;
  while (!must_ask_now() && !link->broken && !stopping_ && runtime_.now() < earliest) {
    co_await wake_.wait_until(earliest);
  }
}

FollowClient::WaitResult FollowClient::take_frames(Link& link) {
  while (!link.frames.empty()) {
    const std::string frame = std::move(link.frames.front());
    link.frames.pop_front();
    Reason reason;
    const auto greeted = greeting_.handle_frame(frame, link.connection->peer(), reason);
    if (greeted == wire::ClientHandshake::Outcome::kAccepted) continue;
    const bool refused = greeted == wire::ClientHandshake::Outcome::kRefused;
    auto answer = refused ? std::nullopt : wire::decode<FollowAnswer>(frame, reason);
    if (!answer) {
      last_failure_ = reason;
      last_failure_.peer = link.connection->peer();
      return WaitResult::kFailed;
    }
    const WaitResult result = take_answer(link, *answer);
    if (result != WaitResult::kAskAgain) return result;
  }
  return WaitResult::kAskAgain;
}

FollowClient::WaitResult FollowClient::take_answer(Link& link, const FollowAnswer& answer) {
  if (answer.nonce != link.nonce) {
    ++statistics_.stale_answers;
    return WaitResult::kAskAgain;
  }
  AnswerEffect effect;
  Reason reason;
  if (!accept_answer(current_, answer, link.asked_at, effect, reason)) {
    last_failure_ = reason;
    if (last_failure_.peer.empty()) last_failure_.peer = link.connection->peer();
    // Who serves goes on to another control node rather than let its lease run out.
    const bool may_wait = last_failure_.code == ReasonCode::kOverloaded && current_.revision == 0;
    return may_wait ? take_busy_answer(link) : WaitResult::kFailed;
  }
  link.busy_since.reset();
  link.news_version = answer.news_version;
  link.answer_due = false;
  answered_nonce_ = answer.nonce;
  ++statistics_.answers;
  if (effect.snapshot) ++statistics_.snapshots;
  if (effect.any() && on_change_) on_change_(effect);
  answered_.notify_all();
  return WaitResult::kAnswered;
}

FollowClient::WaitResult FollowClient::take_busy_answer(Link& link) {
  link.answer_due = false;
  ++statistics_.busy_answers;
  answered_.notify_all();  // renewals fail at once
  const TimePoint now = runtime_.now();
  if (!link.busy_since) link.busy_since = now;
  return now < *link.busy_since + kBusyLimit ? WaitResult::kBusy : WaitResult::kFailed;
}

/// Whatever is waiting to be asked: it would only be told again to come back.
Awaitable<void> FollowClient::pause_while_busy(std::shared_ptr<Link> link) {
  const TimePoint end = runtime_.now() + runtime_.random().between(kBusyPause, 3 * kBusyPause);
  while (!link->broken && !stopping_ && runtime_.now() < end) co_await wake_.wait_until(end);
}

}  // namespace cairnhollow::declared::follow
