#include "consensus/peer_channel.h"

#include <algorithm>

#include "consensus/knobs.h"

namespace cairnhollow::consensus {

PeerChannel::PeerChannel(runtime::Runtime& runtime, PeerChannelSettings settings)
    : runtime_(runtime), settings_(std::move(settings)), connected_(runtime), closing_(runtime) {}

Awaitable<void> PeerChannel::run(std::shared_ptr<PeerChannel> /*self*/) {
  Duration delay = kInitialReconnectDelay;
  while (!closed_) {
    Reason reason;
    auto connection =
        co_await runtime_.network().connect(settings_.endpoint, runtime_.now() + kConnectTimeout, reason);
    if (connection != nullptr && !closed_) {
      const TimePoint connected_at = runtime_.now();
      co_await run_connection(connection);
      // A forwarder may accept connections for a peer that is down; only an answer proves that the peer is
      // up.
      if (last_answer_ > connected_at) delay = kInitialReconnectDelay;
    }
    if (connection != nullptr) connection->close();
    if (closed_) co_return;
    const Duration longest = refused_ ? kRefusedReconnectDelay : delay;
    co_await closing_.wait_until(runtime_.now() + runtime_.random().between(longest / 2, longest));
    delay = std::min(delay * 2, kMaxReconnectDelay);
  }
}

Awaitable<void> PeerChannel::run_connection(std::shared_ptr<runtime::FrameConnection> connection) {
  auto sender = std::make_shared<FrameSender>(runtime_, connection);
  sender->push(handshake_.next_frame(settings_.hello));
  runtime_.spawn("consensus_peer_sender", sender->run(sender));
  sender_ = sender;
  last_answer_ = runtime_.now();
  connected_.notify_all();
  while (!closed_) {
    Reason reason;
    const auto frame = co_await connection->receive(reason);
    if (!frame) break;
    if (is_answer(*frame)) complete_call(*frame);
  }
  sender_.reset();
  sender->close();
  fail_pending();
}

void PeerChannel::close() {
  closed_ = true;
  if (sender_ != nullptr) sender_->close();
  fail_pending();
  connected_.notify_all();
  closing_.notify_all();
}

Awaitable<std::optional<PeerAnswer>> PeerChannel::call(PeerRequest request, TimePoint deadline,
                                                       Reason& reason) {
  const bool connected = co_await wait_connected(deadline);
  if (!connected) {
    reason = make_reason(ReasonCode::kUnreachable, "not connected to the peer; request not sent");
    co_return std::nullopt;
  }
  const std::uint64_t correlation = next_correlation_++;
  request.correlation = correlation;
  if (!sender_->push(wire::encode(request))) {
    reason = make_reason(ReasonCode::kOverloaded, "send queue to the peer is full; request not sent");
    co_return std::nullopt;
  }
  auto call = std::make_shared<PendingCall>(runtime_);
  pending_.emplace(correlation, call);
  bool in_time = true;
  while (!call->answer && !call->connection_lost && in_time)
    in_time = co_await call->changed.wait_until(deadline);
  pending_.erase(correlation);
  if (call->answer) co_return std::move(call->answer);
  if (call->connection_lost) {
    reason = make_reason(ReasonCode::kConnectionLost, "connection closed before the answer arrived");
  } else {
    reason = make_reason(ReasonCode::kDeadlineExceeded, "no answer before the deadline");
    replace_stalled_connection();
  }
  co_return std::nullopt;
}

Awaitable<bool> PeerChannel::wait_connected(TimePoint deadline) {
  bool in_time = true;
  while (sender_ == nullptr && !closed_ && in_time) in_time = co_await connected_.wait_until(deadline);
  co_return sender_ != nullptr && !closed_;
}

/// Returns whether the frame is a PeerAnswer. A HelloAnswer is processed here.
bool PeerChannel::is_answer(const std::string& frame) {
  Reason reason;
  const auto outcome = handshake_.handle_frame(frame, settings_.peer.value, reason);
  refused_ = outcome == wire::ClientHandshake::Outcome::kRefused;
  if (refused_) {
    runtime_.logger().log(runtime::LogLevel::kError, "consensus_peer_refused", reason, {});
    if (sender_ != nullptr) sender_->close();
  }
  return outcome == wire::ClientHandshake::Outcome::kConversation;
}

void PeerChannel::complete_call(const std::string& frame) {
  Reason reason;
  auto answer = wire::decode<PeerAnswer>(frame, reason);
  if (!answer) {
    if (sender_ != nullptr) sender_->close();
    return;
  }
  last_answer_ = runtime_.now();
  const auto pending = pending_.find(answer->correlation);
  if (pending == pending_.end()) return;  // the call has already timed out
  pending->second->answer = std::move(*answer);
  pending->second->changed.notify_all();
}

void PeerChannel::fail_pending() {
  for (auto& [correlation, call] : pending_) {
    call->connection_lost = true;
    call->changed.notify_all();
  }
}

void PeerChannel::replace_stalled_connection() {
  if (sender_ == nullptr || runtime_.now() - last_answer_ < settings_.stall_limit) return;
  sender_->close();
}

Reason PeerChannel::make_reason(ReasonCode code, std::string detail) const {
  return Reason{code, "call_peer", settings_.peer.value, std::move(detail)};
}

}  // namespace cairnhollow::consensus
