#include "declared/control/news/peer_exchange.h"

#include <utility>

#include "declared/control/knobs.h"
#include "wire/codec.h"

namespace cairnhollow::declared::control {

PeerExchange::PeerExchange(runtime::Runtime& runtime, wire::Hello hello, Endpoint self,
                           ClusterStateDirectory& directory, std::function<PeerStatusMessage()> describe)
    : runtime_(runtime),
      hello_(std::move(hello)),
      self_(std::move(self)),
      directory_(directory),
      describe_(std::move(describe)),
      wake_(runtime) {
  hello_.conversation = wire::Conversation::kNews;
}

void PeerExchange::add_peer(const Endpoint& endpoint) {
  if (stopping_ || endpoint == self_ || outgoing_.contains(endpoint)) return;
  auto outgoing = std::make_shared<Outgoing>();
  outgoing->endpoint = endpoint;
  outgoing->connected_at = runtime_.now();
  outgoing_.emplace(endpoint, outgoing);
  runtime_.spawn("news_sender", run(outgoing));
  if (forwarding_) return;
  forwarding_ = true;
  runtime_.spawn("news_forwarder", forward_directory_changes());
}

void PeerExchange::stop() {
  stopping_ = true;
  for (const auto& [endpoint, outgoing] : outgoing_) {
    if (outgoing->connection) outgoing->connection->close();
  }
  for (const auto& [order, connection] : incoming_) connection->close();
  wake_.notify_all();
  directory_.changed().notify_all();
}

Awaitable<void> PeerExchange::forward_directory_changes() {
  while (!stopping_) {
    co_await directory_.changed().wait();
    wake_.notify_all();
  }
}

void PeerExchange::forward_suspicion(const follow::SuspectPrimary& suspect) {
  for (const auto& [endpoint, outgoing] : outgoing_) {
    if (outgoing->connection) outgoing->suspects.push_back(suspect);
  }
  wake_.notify_all();
}

Awaitable<void> PeerExchange::run(std::shared_ptr<Outgoing> outgoing) {
  while (!stopping_) {
    Reason reason;
    const TimePoint deadline = runtime_.now() + kPeerConnectTimeout;
    outgoing->connection = co_await runtime_.network().connect(outgoing->endpoint, deadline, reason);
    if (outgoing->connection) {
      outgoing->directory_version = 0;
      outgoing->known_nodes_sent.clear();
      outgoing->acknowledged_at = runtime_.now();
      runtime_.spawn("news_acknowledgements", read_acknowledgements(outgoing, outgoing->connection));
      co_await send_messages(outgoing);
      outgoing->connection->close();
      outgoing->connection.reset();
      outgoing->suspects.clear();
      outgoing->connected_at = runtime_.now();
    }
    if (runtime_.now() > outgoing->connected_at + kUnreachablePeerRetention) break;
    const Duration pause = outgoing->refused ? kRefusedPeerRetryDelay : kPeerMessageInterval;
    if (!stopping_) co_await runtime_.sleep_for(pause);
  }
  outgoing_.erase(outgoing->endpoint);
}

Awaitable<void> PeerExchange::read_acknowledgements(std::shared_ptr<Outgoing> outgoing,
                                                    std::shared_ptr<runtime::FrameConnection> connection) {
  while (true) {
    Reason reason;
    const auto frame = co_await connection->receive(reason);
    if (!frame) break;
    const auto effect = outgoing->greeting.handle_frame(*frame, connection->peer(), reason);
    outgoing->refused = effect == wire::ClientHandshake::Outcome::kRefused;
    if (outgoing->refused) {
      runtime_.logger().log(runtime::LogLevel::kError, "news_refused", reason, {});
      break;
    }
    outgoing->acknowledged_at = runtime_.now();
  }
  connection->close();
}

Awaitable<void> PeerExchange::send_messages(std::shared_ptr<Outgoing> outgoing) {
  Reason reason;
  const bool greeted = co_await outgoing->connection->send(outgoing->greeting.next_frame(hello_), reason);
  if (!greeted) co_return;
  while (!stopping_) {
    const bool sent = co_await send_message(outgoing);
    if (!sent) co_return;
    // A network partition can leave a TCP connection open for minutes: close it and reconnect.
    if (runtime_.now() > outgoing->acknowledged_at + kPeerAcknowledgementTimeout) co_return;
    const TimePoint next = runtime_.now() + kPeerMessageInterval;
    while (!stopping_ && outgoing->suspects.empty() && outgoing->directory_version == directory_.version()) {
      const bool notified = co_await wake_.wait_until(next);
      if (!notified) break;
    }
  }
}

Awaitable<bool> PeerExchange::send_message(std::shared_ptr<Outgoing> outgoing) {
  PeerStatusMessage message = describe_();
  message.groups = directory_.changed_since(outgoing->directory_version);
  message.suspects = std::exchange(outgoing->suspects, {});
  outgoing->directory_version = directory_.version();
  auto known = known_nodes();
  if (known != outgoing->known_nodes_sent) {
    message.known_nodes = known;
    outgoing->known_nodes_sent = std::move(known);
  }
  Reason reason;
  const bool sent = co_await outgoing->connection->send(wire::encode(message), reason);
  co_return sent;
}

Awaitable<void> PeerExchange::serve(std::shared_ptr<runtime::FrameConnection> connection, wire::Hello hello) {
  const std::uint64_t order = next_incoming_++;
  incoming_.emplace(order, connection);
  while (!stopping_) {
    Reason reason;
    const auto frame = co_await connection->receive(reason);
    if (!frame) break;
    auto message = wire::decode<PeerStatusMessage>(*frame, reason);
    if (!message || message->sender.node != hello.node) break;
    handle_message(std::move(*message));
    const bool acknowledged = co_await connection->send(std::string(), reason);
    if (!acknowledged) break;
  }
  incoming_.erase(order);
  connection->close();
}

std::vector<Endpoint> PeerExchange::known_nodes() const {
  std::vector<Endpoint> known;
  for (const auto& [node, peer] : peers_.peers()) {
    if (peer.alive(runtime_.now())) known.push_back(peer.last_message.sender.endpoint);
  }
  return known;
}

void PeerExchange::handle_message(PeerStatusMessage message) {
  add_peer(message.sender.endpoint);
  for (const auto& endpoint : message.known_nodes) add_peer(endpoint);
  for (const auto& state : message.groups) directory_.learn(state);
  if (on_suspect_) {
    for (const auto& suspect : message.suspects) on_suspect_(suspect);
  }
  peers_.record_message(std::move(message), runtime_.now());
}

}  // namespace cairnhollow::declared::control
