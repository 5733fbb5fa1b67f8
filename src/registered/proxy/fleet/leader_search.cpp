#include "registered/proxy/fleet/leader_search.h"

#include <algorithm>
#include <utility>

#include "registered/proxy/watch_tick.h"
#include "wire/codec.h"

namespace cairnhollow::registered::proxy {

LeaderSearch::LeaderSearch(runtime::Runtime& runtime, wire::Hello hello, std::uint16_t control_port,
                           MakeReport make_report, OnHeard on_heard)
    : runtime_(runtime),
      hello_(std::move(hello)),
      control_port_(control_port),
      make_report_(std::move(make_report)),
      on_heard_(std::move(on_heard)) {}

void LeaderSearch::stop() {
  stopping_ = true;
  if (round_) end(*round_);
}

void LeaderSearch::end(Round& round) {
  round.finished = true;
  for (const auto& conversation : round.open) {
    if (!round.found || round.found->conversation != conversation) conversation->close();
  }
  round.ended.notify_all();
}

Awaitable<std::optional<LeaderSearch::Found>> LeaderSearch::run(std::vector<Endpoint> endpoints) {
  if (stopping_) co_return std::nullopt;
  const auto round = std::make_shared<Round>(runtime_);
  round_ = round;
  const std::size_t workers = std::min(endpoints.size(), kMaxParallelLeaderQueries);
  round->waiting.assign(endpoints.begin(), endpoints.end());
  for (std::size_t worker = 0; worker < workers; ++worker)
    runtime_.spawn("leader_search", ask_control_nodes(round));
  while (!round->finished) co_await round->ended.wait();
  co_return std::move(round->found);
}

Awaitable<void> LeaderSearch::ask_control_nodes(RoundPointer round) {
  Duration pause = kControlRetryBackoff;
  for (int dials = 1; !round->finished; ++dials) {
    const Duration dial_timeout =
        dials % kLongControlDialEvery == 0 ? kLongControlDialTimeout : kControlDialTimeout;
    if (!round->waiting.empty()) {
      const Endpoint endpoint = round->waiting.front();
      round->waiting.pop_front();
      co_await ask(round, endpoint, dial_timeout);
      round->waiting.push_back(endpoint);
    }
    if (round->finished) co_return;
    // Jitter, so that proxies that lost the leader together do not reconnect at the same moment.
    co_await runtime_.sleep_for(runtime_.random().between(pause / 2, pause));
    pause = std::min<Duration>(pause * 2, kControlRetryMaxBackoff);
  }
}

Awaitable<void> LeaderSearch::ask(RoundPointer round, Endpoint endpoint, Duration dial_timeout) {
  if (!round->in_progress.insert(endpoint).second) co_return;
  Reason reason;
  const auto conversation = co_await open(endpoint, dial_timeout, reason);
  std::optional<registry::ProxyUpdate> answer;
  if (conversation && !round->finished) {
    round->open.insert(conversation);
    answer = co_await report(conversation, reason);
    round->open.erase(conversation);
  }
  round->in_progress.erase(endpoint);
  if (answer && !answer->refusal && !round->finished) {
    round->found = Found{conversation, std::move(*answer)};
    end(*round);
    co_return;
  }
  if (conversation) conversation->close();
  if (round->finished) co_return;
  if (answer) reason = *answer->refusal;
  if (conversation && !answer) toggle_compression();
  record_failure(reason, endpoint);
  if (answer) follow_leader_hint(round, reason);
}

Awaitable<std::shared_ptr<ControlConversation>> LeaderSearch::open(Endpoint endpoint, Duration dial_timeout,
                                                                   Reason& reason) {
  auto connection = co_await runtime_.network().connect(endpoint, runtime_.now() + dial_timeout, reason);
  if (!connection) co_return nullptr;
  const bool hello_sent = co_await connection->send(wire::encode(hello_), reason);
  if (!hello_sent) co_return nullptr;
  on_heard_();
  auto conversation = std::make_shared<ControlConversation>();
  conversation->connection = std::move(connection);
  conversation->endpoint = std::move(endpoint);
  conversation->is_compressed = hello_.conversation == wire::Conversation::kServingCompressed;
  co_return conversation;
}

Awaitable<std::optional<registry::ProxyUpdate>> LeaderSearch::report(
    std::shared_ptr<ControlConversation> conversation, Reason& reason) {
  const registry::ProxyReport report = make_report_();
  conversation->last_report_at = runtime_.now();
  conversation->unanswered[report.nonce] = conversation->last_report_at;
  runtime_.spawn("leader_search_limit", close_when_stalled(conversation));
  const bool sent = co_await conversation->connection->send(wire::encode(report), reason);
  if (!sent) co_return std::nullopt;
  const auto frame = co_await conversation->connection->receive(reason);
  conversation->answered = true;
  if (!frame) co_return std::nullopt;
  on_heard_();
  co_return wire::decode<registry::ProxyUpdate>(*frame, reason);
}

Awaitable<void> LeaderSearch::close_when_stalled(std::shared_ptr<ControlConversation> conversation) {
  while (!conversation->answered && !conversation->broken) {
    co_await runtime_.sleep_for(kWatchTick);
    if (!conversation->answered && conversation->is_stalled(runtime_.now())) conversation->close();
  }
}

void LeaderSearch::toggle_compression() {
  const bool was_compressed = hello_.conversation == wire::Conversation::kServingCompressed;
  hello_.conversation =
      was_compressed ? wire::Conversation::kServing : wire::Conversation::kServingCompressed;
}

void LeaderSearch::follow_leader_hint(const RoundPointer& round, const Reason& refusal) {
  if (refusal.code != ReasonCode::kNotLeader || refusal.peer.empty()) return;
  const Endpoint leader{refusal.peer, control_port_};
  if (round->in_progress.count(leader) > 0) return;
  runtime_.spawn("leader_search_hint", ask(round, leader, kControlDialTimeout));
}

void LeaderSearch::record_failure(const Reason& reason, const Endpoint& endpoint) {
  const TimePoint now = runtime_.now();
  if (now - logged_at_ < kSearchLogInterval) return;
  logged_at_ = now;
  runtime_.logger().log(runtime::LogLevel::kWarning, "control_not_found", reason,
                        {{"control", endpoint.to_string()}});
}

}  // namespace cairnhollow::registered::proxy
