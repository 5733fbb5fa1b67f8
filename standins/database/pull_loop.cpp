#include "standins/database/pull_loop.h"

#include "standins/database/replication_messages.h"

namespace cairnhollow::standins::database {

namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(20);
/// A pull is given up after this many primary silence limits: a big batch may take more than one.
constexpr int kPullTimeoutFactor = 2;
constexpr unsigned kStatusOk = 200;

}  // namespace

Awaitable<void> PullLoop::run() {
  runtime_.spawn("pull_target", drop_replaced_primary());
  while (!member_.stopping()) {
    if (!member_.follows()) {
      if (connection_) connection_->close();
      connection_.reset();
      co_await member_.wait_for_change();
      continue;
    }
    Reason reason;
    const bool pulled = co_await pull_once(reason);
    if (pulled || connected_to_ != member_.term_record().primary_endpoint) continue;
    runtime_.logger().log(runtime::LogLevel::kDebug, "pull_failed", reason, {});
    co_await runtime_.sleep_for(kRetryDelay);
  }
  if (connection_) connection_->close();
}

Awaitable<void> PullLoop::drop_replaced_primary() {
  while (!member_.stopping()) {
    co_await member_.wait_for_change();
    if (is_to_follow(connected_to_)) continue;
    if (connection_) connection_->close();
    connecting_changed_.notify_all();
  }
}

bool PullLoop::is_to_follow(const Endpoint& endpoint) const {
  return member_.follows() && member_.term_record().primary_endpoint == endpoint;
}

Awaitable<bool> PullLoop::pull_once(Reason& reason) {
  const auto endpoint = member_.term_record().primary_endpoint;
  if (!connection_ || !connection_->is_open() || connected_to_ != endpoint) {
    const bool connected = co_await connect(endpoint, reason);
    if (!connected) co_return false;
  }
  auto request = co_await member_.next_pull(reason);
  if (!request) co_return false;
  const auto term = request->term;
  auto answer = co_await exchange(std::move(*request), reason);
  if (!answer) co_return false;
  co_return co_await member_.take_answer(std::move(*answer), term, reason);
}

Awaitable<bool> PullLoop::connect(Endpoint endpoint, Reason& reason) {
  if (connection_) connection_->close();
  connected_to_ = endpoint;
  const auto connecting = std::make_shared<Connecting>();
  runtime_.spawn("pull_connect", open(connecting, endpoint));
  while (!connecting->ended && is_to_follow(endpoint)) co_await connecting_changed_.wait();
  connecting->abandoned = !connecting->ended;
  connection_ = connecting->connection;
  reason = connecting->reason;
  co_return connection_ != nullptr;
}

Awaitable<void> PullLoop::open(std::shared_ptr<Connecting> connecting, Endpoint endpoint) {
  const auto deadline = runtime_.now() + tunables_.primary_silence_limit;
  auto connection = co_await runtime_.http().connect(std::move(endpoint), deadline, connecting->reason);
  connecting->ended = true;
  if (connecting->abandoned && connection) connection->close();
  if (!connecting->abandoned) connecting->connection = std::move(connection);
  connecting_changed_.notify_all();
}

Awaitable<std::optional<PullAnswer>> PullLoop::exchange(PullRequest request, Reason& reason) {
  runtime::HttpRequest http_request;
  http_request.method = runtime::HttpMethod::kPost;
  http_request.target = kPullTarget;
  http_request.headers.fields["content-type"] = "application/octet-stream";
  http_request.body = wire::encode(request);
  const auto deadline = runtime_.now() + tunables_.primary_silence_limit * kPullTimeoutFactor;
  auto sent = runtime::SendState::kNotSent;
  const auto connection = connection_;
  const auto response = co_await connection->exchange(std::move(http_request), deadline, sent, reason);
  if (!response) co_return std::nullopt;
  if (response->status != kStatusOk) {
    reason = Reason{ReasonCode::kUnsupported, "pull", connection->peer(), "the primary refused the pull"};
    co_return std::nullopt;
  }
  co_return wire::decode<PullAnswer>(response->body, reason);
}

}  // namespace cairnhollow::standins::database
