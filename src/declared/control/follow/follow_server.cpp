#include "declared/control/follow/follow_server.h"

#include <algorithm>

#include "declared/control/knobs.h"
#include "wire/codec.h"

namespace cairnhollow::declared::control {

FollowServer::FollowServer(runtime::Runtime& runtime, Duration serving_lease, RenewalBarrier& barrier,
                           ConfigView& configuration, ClusterStateDirectory& directory)
    : runtime_(runtime),
      serving_lease_(serving_lease),
      barrier_(barrier),
      configuration_(configuration),
      directory_(directory),
      encoder_(configuration, directory),
      registry_(serving_lease),
      wake_(runtime) {}

void FollowServer::start() {
  runtime_.spawn("follow_server", run());
  runtime_.spawn("follow_server_config", forward(configuration_.changed()));
  runtime_.spawn("follow_server_news", forward(directory_.changed()));
}

void FollowServer::stop() {
  stopping_ = true;
  const Reason reason{ReasonCode::kDraining, "follow", "", "the control node is stopping"};
  for (const auto& [id, follower] : followers_) {
    if (follower->pending) refuse(follower, reason);
  }
  wake_.notify_all();
  configuration_.changed().notify_all();
  directory_.changed().notify_all();
}

Awaitable<void> FollowServer::forward(runtime::Signal& from) {
  while (!stopping_) {
    co_await from.wait();
    wake_.notify_all();
  }
}

Awaitable<void> FollowServer::serve(std::shared_ptr<runtime::FrameConnection> connection, wire::Hello hello) {
  const FollowerId id = next_follower_++;
  auto follower = std::make_shared<Follower>();
  follower->connection = connection;
  follower->node = hello.node;
  follower->zone = hello.zone;
  followers_.emplace(id, follower);
  while (true) {
    Reason reason;
    const auto frame = co_await connection->receive(reason);
    if (!frame || !accept_request(*follower, *frame)) break;
    if (stopping_)
      refuse(follower, Reason{ReasonCode::kDraining, "follow", "", "the control node is stopping"});
    if (!follower->pending) continue;
    const bool due = is_due(*follower->pending, runtime_.now());
    if (due || follower->pending->hold_until < next_wakeup_) wake_.notify_all();
  }
  followers_.erase(id);
  connection->close();
}

bool FollowServer::accept_request(Follower& follower, const std::string& frame) {
  Reason reason;
  auto request = wire::decode<follow::FollowRequest>(frame, reason);
  if (!request) {
    runtime_.logger().log(runtime::LogLevel::kWarning, "follow_request_not_readable", reason,
                          {{"proxy", follower.node.value}});
    return false;
  }
  ++statistics_.requests;
  registry_.record_request(follower.node, follower.zone, *request);
  for (const auto& suspect : request->suspects) {
    if (on_suspect_) on_suspect_(suspect);
  }
  const Duration hold = std::clamp<Duration>(request->hold, Duration(0), serving_lease_ / kHoldLeaseDivisor);
  PendingRequest pending;
  pending.arrived = runtime_.now();
  // A request that replaces an open one inherits its hold deadline; otherwise a client that sends requests
  // frequently could be held indefinitely.
  pending.hold_until = pending.arrived + hold;
  if (follower.pending) pending.hold_until = std::min(pending.hold_until, follower.pending->hold_until);
  pending.request = std::move(*request);
  follower.pending = std::move(pending);
  return true;
}

bool FollowServer::is_due(const PendingRequest& pending, TimePoint now) const {
  if (pending.confirmed) return false;
  return now >= pending.hold_until || pending.request.revision < configuration_.revision() ||
         pending.request.news_version < directory_.version();
}

bool FollowServer::any_due() const {
  const TimePoint now = runtime_.now();
  return std::any_of(followers_.begin(), followers_.end(), [&](const auto& entry) {
    return entry.second->pending && is_due(*entry.second->pending, now);
  });
}

TimePoint FollowServer::next_due() const {
  TimePoint next = TimePoint::max();
  for (const auto& [id, follower] : followers_) {
    if (follower->pending && !follower->pending->confirmed)
      next = std::min(next, follower->pending->hold_until);
  }
  return next;
}

Awaitable<void> FollowServer::run() {
  while (!stopping_) {
    if (any_due()) {
      co_await answer_batch();
    } else {
      next_wakeup_ = next_due();
      co_await wake_.wait_until(next_wakeup_);
    }
    registry_.remove_expired(runtime_.now());
  }
}

std::vector<FollowServer::BatchEntry> FollowServer::collect_batch() const {
  // Requests due within one tick join the batch, which saves a separate quorum round for them.
  const TimePoint soon = runtime_.now() + kRenewalTick;
  std::vector<BatchEntry> batch;
  for (const auto& [id, follower] : followers_) {
    if (!follower->pending || !is_due(*follower->pending, soon)) continue;
    batch.push_back({id, follower->pending->request.nonce});
  }
  return batch;
}

Awaitable<void> FollowServer::answer_batch() {
  const std::vector<BatchEntry> batch = collect_batch();
  ++statistics_.quorum_rounds;
  Reason reason;
  const TimePoint deadline = runtime_.now() + kFollowBarrierTimeout;
  const bool confirmed = co_await barrier_.wait(deadline, reason);
  if (!confirmed) {
    refuse_due(reason);
    co_return;
  }
  for (const auto& entry : batch) {
    const auto follower = find_follower(entry);
    if (!follower) continue;
    if (follower->pending->request.revision > 0) {
      answer(follower);
    } else {
      follower->pending->confirmed = true;
      first_configurations_.push_back(entry);
    }
  }
  if (first_configurations_.empty() || sending_first_configurations_) co_return;
  sending_first_configurations_ = true;
  runtime_.spawn("follow_server_first", send_first_configurations());
}

std::shared_ptr<FollowServer::Follower> FollowServer::find_follower(const BatchEntry& entry) const {
  const auto found = followers_.find(entry.follower);
  if (found == followers_.end()) return nullptr;
  const auto& pending = found->second->pending;
  // A request that replaced the one in the batch arrived after the barrier had begun, so it waits for the
  // next barrier.
  return pending && pending->request.nonce == entry.nonce ? found->second : nullptr;
}

Awaitable<void> FollowServer::send_first_configurations() {
  while (!first_configurations_.empty()) {
    co_await runtime_.sleep_for(Duration(0));  // yield so that other ready work runs first
    const BatchEntry entry = first_configurations_.front();
    first_configurations_.pop_front();
    if (const auto follower = find_follower(entry)) answer(follower);
  }
  sending_first_configurations_ = false;
}

void FollowServer::answer(const std::shared_ptr<Follower>& follower) {
  const PendingRequest pending = std::move(*follower->pending);
  follower->pending.reset();
  if (pending.request.revision > configuration_.revision()) {
    follower->pending = pending;
    refuse(follower, Reason{ReasonCode::kConflict, "follow", "", "the follower holds a newer revision"});
    return;
  }
  const Reason come_back{ReasonCode::kOverloaded, "follow", "",
                         "other first configurations are on their way"};
  // Skip encoding a full configuration that could not be sent now.
  const bool is_full = pending.request.revision == 0 && !may_send_update(kLargeUpdateBytes);
  const std::string* update = nullptr;
  if (!is_full) update = &encoder_.update_since(pending.request.revision, pending.request.news_version);
  if (update == nullptr || !may_send_update(update->size())) {
    ++statistics_.overload_refusals;
    follower->pending = pending;
    refuse(follower, come_back);
    return;
  }
  follow::FollowAnswer answer;
  answer.nonce = pending.request.nonce;
  answer.revision = configuration_.revision();
  answer.lease = serving_lease_;
  answer.news_version = directory_.version();
  answer.update = *update;
  registry_.record_lease(follower->node, pending.arrived);
  ++statistics_.answers;
  send(follower, answer);
}

void FollowServer::refuse(const std::shared_ptr<Follower>& follower, const Reason& reason) {
  follow::FollowAnswer answer;
  answer.nonce = follower->pending->request.nonce;
  answer.refusal = reason;
  follower->pending.reset();
  ++statistics_.refusals;
  send(follower, answer);
}

void FollowServer::refuse_due(const Reason& reason) {
  const TimePoint now = runtime_.now();
  for (const auto& [id, follower] : followers_) {
    if (follower->pending && is_due(*follower->pending, now)) refuse(follower, reason);
  }
}

bool FollowServer::may_send_update(std::size_t update_bytes) const {
  return update_bytes < kLargeUpdateBytes || large_bytes_ == 0 ||
         large_bytes_ + update_bytes <= kMaxLargeUpdateBytesInFlight;
}

void FollowServer::send(const std::shared_ptr<Follower>& follower, const follow::FollowAnswer& answer) {
  OutgoingAnswer outgoing;
  outgoing.frame = wire::encode(answer);
  if (answer.update.size() >= kLargeUpdateBytes) {
    outgoing.large_bytes = answer.update.size();
    outgoing.large_update_id = ++last_large_update_id_;
    large_bytes_ += outgoing.large_bytes;
    runtime_.spawn("follow_server_limit", enforce_send_timeout(follower, outgoing.large_update_id));
  }
  follower->outgoing.push_back(std::move(outgoing));
  if (follower->sending) return;
  follower->sending = true;
  runtime_.spawn("follow_server_send", send_outgoing(follower));
}

void FollowServer::release(const OutgoingAnswer& outgoing) { large_bytes_ -= outgoing.large_bytes; }

Awaitable<void> FollowServer::send_outgoing(std::shared_ptr<Follower> follower) {
  bool sent = true;
  while (sent && !follower->outgoing.empty()) {
    std::string frame = std::move(follower->outgoing.front().frame);
    Reason reason;
    sent = co_await follower->connection->send(std::move(frame), reason);
    release(follower->outgoing.front());
    follower->outgoing.pop_front();
  }
  for (const auto& outgoing : follower->outgoing) release(outgoing);
  follower->outgoing.clear();
  follower->sending = false;
}

Awaitable<void> FollowServer::enforce_send_timeout(std::shared_ptr<Follower> follower,
                                                   std::uint64_t large_update_id) {
  co_await runtime_.sleep_for(kLargeUpdateTimeout);
  for (const auto& outgoing : follower->outgoing) {
    if (outgoing.large_update_id == large_update_id) follower->connection->close();
  }
}

}  // namespace cairnhollow::declared::control
