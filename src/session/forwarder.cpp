#include "session/forwarder.h"

#include <utility>

#include "session/knobs.h"
#include "wire/codec.h"

namespace cairnhollow::session {

Awaitable<std::optional<ForwardAnswer>> ForwardConnection::call(ForwardRequest request, TimePoint deadline,
                                                                Reason& reason) {
  const std::uint64_t correlation = next_correlation_++;
  request.correlation = correlation;
  const auto pending = std::make_shared<Pending>(runtime_);
  pending_[correlation] = pending;
  outgoing_.push_back(wire::encode(request));
  queued_.notify_all();
  called_.notify_all();
  bool in_time = true;
  while (open_ && !pending->answer && in_time) in_time = co_await pending->answered.wait_until(deadline);
  pending_.erase(correlation);
  if (!pending->answer) {
    const ReasonCode code = open_ ? ReasonCode::kDeadlineExceeded : ReasonCode::kConnectionLost;
    reason = Reason{code, "forward", frames_->peer(), "no answer from the proxy that serves the group"};
  }
  co_return pending->answer;
}

Awaitable<void> ForwardConnection::read(std::shared_ptr<ForwardConnection> /*self*/) {
  while (open_) {
    Reason reason;
    const auto frame = co_await frames_->receive(reason);
    std::optional<ForwardAnswer> answer;
    if (frame) answer = wire::decode<ForwardAnswer>(*frame, reason);
    if (!answer) break;
    heard_at_ = runtime_.now();
    asked_at_.reset();
    const auto pending = pending_.find(answer->correlation);
    if (pending == pending_.end()) {
      end_unwanted(*answer);
      continue;
    }
    pending->second->answer = std::move(answer);
    pending->second->answered.notify_all();
  }
  close();
}

Awaitable<void> ForwardConnection::watch(std::shared_ptr<ForwardConnection> /*self*/) {
  while (open_) {
    if (pending_.empty()) {
      co_await called_.wait();
      heard_at_ = runtime_.now();
      asked_at_.reset();
    }
    co_await runtime_.sleep_for(kForwardWatchTick);
    const TimePoint now = runtime_.now();
    if (pending_.empty()) continue;
    if (asked_at_ && now - *asked_at_ > kForwardAnswerLimit) close();
    if (open_ && !asked_at_ && now - heard_at_ > kForwardSilence) ask_for_life();
  }
}

void ForwardConnection::ask_for_life() {
  // No transaction has this number: the other side answers at once that it is over.
  asked_at_ = runtime_.now();
  ForwardRequest request;
  request.correlation = next_correlation_++;
  request.body = ForwardEnd{0};
  outgoing_.push_back(wire::encode(request));
  queued_.notify_all();
}

void ForwardConnection::end_unwanted(const ForwardAnswer& answer) {
  if (answer.pin == 0) return;
  ForwardRequest request;
  request.correlation = next_correlation_++;
  request.body = ForwardEnd{answer.pin};
  outgoing_.push_back(wire::encode(request));
  queued_.notify_all();
}

Awaitable<void> ForwardConnection::write(std::shared_ptr<ForwardConnection> /*self*/) {
  while (open_) {
    for (std::string& frame : std::exchange(outgoing_, {})) {
      Reason reason;
      const bool sent = co_await frames_->send(std::move(frame), reason);
      if (!sent) close();
    }
    if (open_ && outgoing_.empty()) co_await queued_.wait();
  }
}

void ForwardConnection::close() {
  if (!std::exchange(open_, false)) return;
  frames_->close();
  queued_.notify_all();
  called_.notify_all();
  for (const auto& [correlation, pending] : pending_) pending->answered.notify_all();
}

Awaitable<std::shared_ptr<ForwardConnection>> Forwarder::connect(routing::ProxyPointer proxy,
                                                                 TimePoint deadline, Reason& reason) {
  const auto held = connections_.find(proxy->name);
  if (held != connections_.end() && held->second->is_open()) co_return held->second;
  const TimePoint dial_deadline = std::min(deadline, runtime_.now() + kForwardDialTimeout);
  auto frames = co_await runtime_.network().connect(proxy->endpoint, dial_deadline, reason);
  if (!frames) {
    avoid(proxy->name);
    co_return nullptr;
  }
  const auto raced = connections_.find(proxy->name);
  if (raced != connections_.end() && raced->second->is_open()) {
    frames->close();
    co_return raced->second;
  }
  wire::Hello hello;
  hello.conversation = wire::Conversation::kForwarding;
  hello.node = node_;
  hello.zone = zone_;
  hello.highest_version = hello.protocol_version;
  auto connection = std::make_shared<ForwardConnection>(runtime_, frames);
  connections_[proxy->name] = connection;
  const bool greeted = co_await frames->send(wire::encode(hello), reason);
  if (!greeted) connection->close();
  if (!greeted) co_return nullptr;
  runtime_.spawn("forward_read", connection->read(connection));
  runtime_.spawn("forward_write", connection->write(connection));
  runtime_.spawn("forward_watch", connection->watch(connection));
  co_return connection;
}

void Forwarder::avoid(const NodeName& proxy) { avoided_until_[proxy] = runtime_.now() + kAvoidProxy; }

void Forwarder::avoid_for(const NodeName& proxy, const GroupName& group) {
  avoided_for_until_[{proxy, group}] = runtime_.now() + kAvoidProxy;
}

bool Forwarder::is_avoided(const NodeName& proxy, const GroupName& group) const {
  const auto found = avoided_until_.find(proxy);
  if (found != avoided_until_.end() && runtime_.now() < found->second) return true;
  const auto for_group = avoided_for_until_.find({proxy, group});
  return for_group != avoided_for_until_.end() && runtime_.now() < for_group->second;
}

}  // namespace cairnhollow::session
