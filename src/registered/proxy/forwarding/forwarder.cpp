#include "registered/proxy/forwarding/forwarder.h"

#include <algorithm>
#include <utility>

#include "wire/codec.h"

namespace cairnhollow::registered::proxy {

namespace {

ForwardRequest make_probe() {
  ForwardRequest request;
  request.body = kLivenessProbe;
  return request;
}

const ForwardedStatement* statement_of(const ForwardRequest& request) {
  if (const auto* run = std::get_if<ForwardRun>(&request.body)) return &run->statement;
  if (const auto* in_transaction = std::get_if<ForwardInTransaction>(&request.body))
    return &in_transaction->statement;
  return nullptr;
}

std::string encode_request(const ForwardRequest& request) {
  const ForwardedStatement* statement = statement_of(request);
  const bool asks_tokens = std::holds_alternative<ForwardTokens>(request.body);
  const bool has_tenants =
      asks_tokens || (statement != nullptr && (!statement->key.empty() || statement->route.is_public));
  return wire::encode_from(request, wire::format_with_tenants(has_tenants));
}

}  // namespace

Awaitable<std::optional<ForwardAnswer>> ForwardConnection::call(ForwardRequest request, TimePoint deadline,
                                                                Reason& reason) {
  const std::uint64_t correlation = next_correlation_++;
  request.correlation = correlation;
  const auto pending = std::make_shared<Pending>(runtime_);
  pending_[correlation] = pending;
  outgoing_.push_back(encode_request(request));
  frame_queued_.notify_all();
  call_added_.notify_all();
  bool in_time = true;
  while (open_ && !pending->answer && in_time) in_time = co_await pending->answered.wait_until(deadline);
  pending_.erase(correlation);
  if (!pending->answer) {
    const ReasonCode code = open_ ? ReasonCode::kDeadlineExceeded : ReasonCode::kConnectionLost;
    reason = Reason{code, "forward", frames_->peer(), "the proxy did not answer the forwarded request"};
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
    last_received_at_ = runtime_.now();
    probe_sent_at_.reset();
    const auto pending = pending_.find(answer->correlation);
    if (pending == pending_.end()) {
      end_orphaned_transaction(*answer);
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
      co_await call_added_.wait();
      last_received_at_ = runtime_.now();
      probe_sent_at_.reset();
    }
    const TimePoint due =
        probe_sent_at_ ? *probe_sent_at_ + kForwardProbeTimeout : last_received_at_ + kForwardProbeAfter;
    co_await runtime_.sleep_for(std::max<Duration>(due - runtime_.now(), kForwardWatchInterval));
    const TimePoint now = runtime_.now();
    if (pending_.empty()) continue;
    if (probe_sent_at_ && now - *probe_sent_at_ >= kForwardProbeTimeout) close();
    if (open_ && !probe_sent_at_ && now - last_received_at_ >= kForwardProbeAfter) send_probe();
  }
}

void ForwardConnection::send_probe() {
  probe_sent_at_ = runtime_.now();
  ForwardRequest request = make_probe();
  request.correlation = next_correlation_++;
  outgoing_.push_back(wire::encode(request));
  frame_queued_.notify_all();
}

void ForwardConnection::end_orphaned_transaction(const ForwardAnswer& answer) {
  if (answer.pin == 0) return;
  ForwardRequest request;
  request.correlation = next_correlation_++;
  request.body = ForwardEnd{answer.pin};
  outgoing_.push_back(wire::encode(request));
  frame_queued_.notify_all();
}

Awaitable<void> ForwardConnection::write(std::shared_ptr<ForwardConnection> /*self*/) {
  while (open_) {
    for (std::string& frame : std::exchange(outgoing_, {})) {
      Reason reason;
      const bool sent = co_await frames_->send(std::move(frame), reason);
      if (!sent) close();
    }
    if (open_ && outgoing_.empty()) co_await frame_queued_.wait();
  }
}

void ForwardConnection::close() {
  if (!std::exchange(open_, false)) return;
  frames_->close();
  frame_queued_.notify_all();
  call_added_.notify_all();
  for (const auto& [correlation, pending] : pending_) pending->answered.notify_all();
}

Awaitable<std::shared_ptr<ForwardConnection>> Forwarder::connect(subset::ProxyPointer proxy,
                                                                 TimePoint deadline, Reason& reason) {
  auto& slot = peers_[proxy->name];
  if (!slot) slot = std::make_shared<ForwardPeer>(runtime_, proxy->name);
  const PeerPointer peer = slot;
  peer->endpoint = proxy->endpoint;
  peer->last_requested_at = runtime_.now();
  if (peer->is_open()) co_return peer->connection;
  start_dialling(peer);
  const TimePoint give_up_at = std::min(deadline, peer->dialling_since + connect_wait(*proxy));
  while (!peer->is_open() && peer->is_dialling && !peer->is_unreachable && runtime_.now() < give_up_at)
    co_await peer->dialled.wait_until(give_up_at);
  if (peer->is_open()) co_return peer->connection;
  mark_unreachable(*peer);
  reason = peer->last_reason;
  co_return nullptr;
}

void Forwarder::mark_unreachable(ForwardPeer& peer) {
  if (!peer.last_reason.failed())
    peer.last_reason = Reason{ReasonCode::kDeadlineExceeded, "open_connection", peer.endpoint.to_string(),
                              "connection not opened in time; dialling continues"};
  if (std::exchange(peer.is_unreachable, true)) return;
  peer.unreachable_since = runtime_.now();
  runtime_.logger().log(runtime::LogLevel::kWarning, "proxy_unreachable", peer.last_reason,
                        {{"proxy", peer.name.value}});
}

void Forwarder::record_reached(ForwardPeer& peer) {
  if (!std::exchange(peer.is_unreachable, false)) return;
  const std::int64_t unreachable_ms = in_ms(runtime_.now() - peer.unreachable_since);
  runtime_.logger().log(runtime::LogLevel::kInfo, "proxy_reached",
                        {{"proxy", peer.name.value}, {"after_ms", std::to_string(unreachable_ms)}});
}

void Forwarder::start_dialling(const PeerPointer& peer) {
  if (peer->is_dialling) return;
  peer->is_dialling = true;
  peer->dialling_since = runtime_.now();
  peer->last_reason = Reason{};
  runtime_.spawn("forward_dial", dial(peer));
}

Awaitable<void> Forwarder::dial(PeerPointer peer) {
  Duration pause = kForwardRedialBackoff;
  while (peer->is_dialling) {
    const auto connection = co_await open(peer);
    bool is_reached = connection != nullptr;
    // The kernel accepts connections for a frozen process, so an open connection proves nothing. A proxy of
    // an earlier build closes one that is to carry versions.
    if (is_reached && (peer->is_unreachable || connection->carries_versions()))
      is_reached = co_await answers_probe(connection, peer->last_reason);
    const bool is_closed = !is_reached && peer->last_reason.code == ReasonCode::kConnectionLost;
    const bool falls_back = connection && connection->carries_versions() && is_closed;
    // The next dial is without versions, and the one after that asks again.
    peer->refuses_versions = falls_back;
    if (falls_back) continue;
    if (connection && !is_reached) connection->close();
    if (is_reached) peer->connection = connection;
    if (is_reached) record_reached(*peer);
    if (!is_reached) mark_unreachable(*peer);
    peer->dialled.notify_all();
    if (!is_reached) co_await runtime_.sleep_for(runtime_.random().between(pause / 2, pause));
    pause = std::min<Duration>(pause * 2, kForwardRedialMaxBackoff);
    const bool is_requested = runtime_.now() - peer->last_requested_at < kForwardRedialWindow;
    peer->is_dialling = !is_reached && is_requested;
  }
  peer->is_unreachable = false;
  peer->dialled.notify_all();
}

Awaitable<std::shared_ptr<ForwardConnection>> Forwarder::open(PeerPointer peer) {
  const TimePoint limit = runtime_.now() + kForwardDialTimeout;
  auto frames = co_await runtime_.network().connect(peer->endpoint, limit, peer->last_reason);
  if (!frames) co_return nullptr;
  wire::Hello hello;
  const bool forwards = conversation_ == wire::Conversation::kForwarding;
  const bool carries_versions = forwards && !peer->refuses_versions;
  hello.conversation = carries_versions ? wire::Conversation::kForwardingVersioned : conversation_;
  hello.node = node_;
  hello.zone = zone_;
  hello.highest_version = hello.protocol_version;
  const bool hello_sent = co_await frames->send(wire::encode(hello), peer->last_reason);
  if (!hello_sent) {
    frames->close();
    co_return nullptr;
  }
  auto connection = std::make_shared<ForwardConnection>(runtime_, frames, carries_versions);
  runtime_.spawn("forward_read", connection->read(connection));
  runtime_.spawn("forward_write", connection->write(connection));
  runtime_.spawn("forward_watch", connection->watch(connection));
  co_return connection;
}

Awaitable<bool> Forwarder::answers_probe(std::shared_ptr<ForwardConnection> connection, Reason& reason) {
  ForwardRequest request = make_probe();
  const auto answer =
      co_await connection->call(std::move(request), runtime_.now() + kForwardProbeTimeout, reason);
  co_return answer.has_value();
}

void Forwarder::record_no_answer(const NodeName& proxy, const GroupName& group) {
  avoid(proxy, group);
  const auto found = peers_.find(proxy);
  if (found == peers_.end() || found->second->is_open()) return;
  ForwardPeer& peer = *found->second;
  peer.last_reason = Reason{ReasonCode::kConnectionLost, "forward", peer.endpoint.to_string(),
                            "connection closed before the statement was answered; redialling"};
  mark_unreachable(peer);
  start_dialling(found->second);
}

void Forwarder::avoid(const NodeName& proxy, const GroupName& group) {
  avoided_until_[{proxy, group}] = runtime_.now() + kAvoidProxyFor;
}

bool Forwarder::is_unreachable(const NodeName& proxy) const {
  const auto peer = peers_.find(proxy);
  return peer != peers_.end() && peer->second->is_unreachable;
}

bool Forwarder::is_avoided(const NodeName& proxy, const GroupName& group) const {
  if (is_unreachable(proxy)) return true;
  const auto for_group = avoided_until_.find({proxy, group});
  return for_group != avoided_until_.end() && runtime_.now() < for_group->second;
}

}  // namespace cairnhollow::registered::proxy
