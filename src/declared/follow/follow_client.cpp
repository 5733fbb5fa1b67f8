#include "declared/follow/follow_client.h"

#include <algorithm>

#include "declared/follow/knobs.h"
#include "wire/codec.h"
#include "wire/hello.h"

namespace cairnhollow::declared::follow {

FollowClient::FollowClient(runtime::Runtime& runtime, FollowClientSettings settings)
    : runtime_(runtime), settings_(std::move(settings)), answered_(runtime), wake_(runtime) {
  current_.decodes_updates = settings_.decode_updates;
}

void FollowClient::start() { runtime_.spawn("follow_client", run()); }

void FollowClient::stop() {
  stopping_ = true;
  if (link_) link_->connection->close();
  wake_.notify_all();
}

void FollowClient::report_suspect(SuspectPrimary suspect) {
  const auto now = runtime_.now();
  const auto reported = last_suspect_reports_.find(suspect.group);
  if (reported != last_suspect_reports_.end() && now < reported->second + kSuspectRepeatInterval) return;
  last_suspect_reports_[suspect.group] = now;
  suspects_.push_back(std::move(suspect));
  request_now_ = true;
  wake_.notify_all();
}

void FollowClient::set_load(std::uint64_t in_flight, bool draining) {
  in_flight_ = in_flight;
  if (draining_ == draining) return;
  draining_ = draining;
  request_now_ = true;
  wake_.notify_all();
}

Awaitable<bool> FollowClient::renew(TimePoint deadline, Reason& reason) {
  const std::uint64_t first_nonce = next_nonce_;
  const std::uint64_t busy_answers = statistics_.busy_answers;
  ++pending_renewals_;
  request_now_ = true;
  wake_.notify_all();
  bool in_time = true;
  while (last_answered_nonce_ < first_nonce && busy_answers == statistics_.busy_answers && in_time &&
         !stopping_) {
    in_time = co_await answered_.wait_until(deadline);
  }
  --pending_renewals_;
  if (last_answered_nonce_ >= first_nonce) co_return true;
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
    bool lease_granted = false;
    if (connection) {
      link_ = std::make_shared<Link>();
      link_->connection = std::move(connection);
      followed_peer_ = endpoint.to_string();
      lease_granted = co_await run_session(link_);
      link_->connection->close();
      link_.reset();
      followed_peer_.clear();
    } else {
      last_failure_ = reason;
    }
    if (stopping_) break;
    ++endpoint_index_;
    ++statistics_.node_switches;
    answered_.notify_all();
    runtime_.logger().log(runtime::LogLevel::kInfo, "control_node_given_up", last_failure_, {});
    co_await pause_after_failure(lease_granted);
  }
}

Awaitable<void> FollowClient::pause_after_failure(bool lease_granted) {
  consecutive_failures_ = lease_granted ? 1 : consecutive_failures_ + 1;
  const auto endpoints = std::min(settings_.control_endpoints.size(), kFollowAttemptsBeforePause);
  if (consecutive_failures_ < endpoints) co_return;
  const auto rounds = static_cast<std::int64_t>(consecutive_failures_ / endpoints);
  const bool refused = last_failure_.code == ReasonCode::kUnsupported;
  const Duration limit = refused ? kFollowRefusedPauseLimit : kFollowRetryPauseLimit;
  const Duration pause = std::min<Duration>(kFollowRetryPause * rounds, limit);
  const TimePoint end = runtime_.now() + runtime_.random().between(pause, 2 * pause);
  // The reader of the abandoned connection notifies this signal too.
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

Awaitable<bool> FollowClient::run_session(std::shared_ptr<Link> link) {
  const bool greeted = co_await send_hello(link);
  if (!greeted) co_return false;
  runtime_.spawn("follow_client_reader", read_frames(link));
  bool lease_granted = false;
  while (!stopping_) {
    // The first request on a connection must not be held: the lease may be about to expire.
    const double share = kHoldShareLow + (kHoldShareHigh - kHoldShareLow) * runtime_.random().unit();
    const auto interval = static_cast<double>(settings_.follow_interval.count());
    const bool may_hold = lease_granted && pending_renewals_ == 0;
    const Duration hold = may_hold ? Duration(static_cast<std::int64_t>(interval * share)) : Duration(0);
    const bool request_sent = co_await send_request(link, hold);
    if (!request_sent) break;
    const WaitResult result = co_await wait_for_answer(link);
    if (result == WaitResult::kFailed) break;
    if (result == WaitResult::kRequestAgain) continue;
    if (result == WaitResult::kBusy) {
      co_await pause_while_busy(link);
      continue;
    }
    lease_granted = true;
    consecutive_failures_ = 0;
    co_await pause_before_next_request(link);
  }
  co_return lease_granted;
}

Awaitable<bool> FollowClient::send_request(std::shared_ptr<Link> link, Duration hold) {
  FollowRequest request;
  request.nonce = next_nonce_++;
  request.revision = current_.revision;
  request.news_version = link->news_version;
  request.hold = hold;
  request.suspects = std::exchange(suspects_, {});
  request.in_flight = in_flight_;
  request.draining = draining_;
  request_now_ = false;
  link->nonce = request.nonce;
  link->sent_at = runtime_.now();
  if (!link->awaiting_answer) link->unanswered_since = link->sent_at;
  link->awaiting_answer = true;
  std::string frame = wire::encode(request);
  ++statistics_.requests;
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
    const WaitResult result = process_frames(*link);
    if (result != WaitResult::kRequestAgain) co_return result;
    if (link->broken || stopping_) {
      last_failure_ = link->reason;
      co_return WaitResult::kFailed;
    }
    if (must_request_now()) co_return WaitResult::kRequestAgain;
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
  const bool in_time = runtime_.now() < link.unanswered_since + kFirstConfigurationTimeout;
  return current_.revision == 0 && link.bytes_seen > before && in_time;
}

Awaitable<void> FollowClient::pause_before_next_request(std::shared_ptr<Link> link) {
  const TimePoint earliest = link->sent_at + kMinimumRequestInterval;
  while (!must_request_now() && !link->broken && !stopping_ && runtime_.now() < earliest) {
    co_await wake_.wait_until(earliest);
  }
}

FollowClient::WaitResult FollowClient::process_frames(Link& link) {
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
    const WaitResult result = process_answer(link, *answer);
    if (result != WaitResult::kRequestAgain) return result;
  }
  return WaitResult::kRequestAgain;
}

FollowClient::WaitResult FollowClient::process_answer(Link& link, const FollowAnswer& answer) {
  if (answer.nonce != link.nonce) {
    ++statistics_.stale_answers;
    return WaitResult::kRequestAgain;
  }
  AnswerEffect effect;
  Reason reason;
  if (!accept_answer(current_, answer, link.sent_at, effect, reason)) {
    last_failure_ = reason;
    if (last_failure_.peer.empty()) last_failure_.peer = link.connection->peer();
    // A follower that serves switches to another control node rather than let its lease expire.
    const bool may_wait = last_failure_.code == ReasonCode::kOverloaded && current_.revision == 0;
    return may_wait ? process_busy_answer(link) : WaitResult::kFailed;
  }
  link.busy_since.reset();
  link.news_version = answer.news_version;
  link.awaiting_answer = false;
  last_answered_nonce_ = answer.nonce;
  ++statistics_.answers;
  if (effect.snapshot) ++statistics_.snapshots;
  if (effect.any() && on_change_) on_change_(effect);
  answered_.notify_all();
  return WaitResult::kAnswered;
}

FollowClient::WaitResult FollowClient::process_busy_answer(Link& link) {
  link.awaiting_answer = false;
  ++statistics_.busy_answers;
  answered_.notify_all();  // pending renewals fail at once
  const TimePoint now = runtime_.now();
  if (!link.busy_since) link.busy_since = now;
  return now < *link.busy_since + kBusyTimeout ? WaitResult::kBusy : WaitResult::kFailed;
}

/// Not cut short by urgent requests: the control node would only refuse them again.
Awaitable<void> FollowClient::pause_while_busy(std::shared_ptr<Link> link) {
  const TimePoint end = runtime_.now() + runtime_.random().between(kBusyRetryPause, 3 * kBusyRetryPause);
  while (!link->broken && !stopping_ && runtime_.now() < end) co_await wake_.wait_until(end);
}

}  // namespace cairnhollow::declared::follow
