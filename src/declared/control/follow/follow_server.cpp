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
    if (follower->question) refuse(follower, reason);
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
    if (!frame || !take_question(*follower, *frame)) break;
    if (stopping_)
      refuse(follower, Reason{ReasonCode::kDraining, "follow", "", "the control node is stopping"});
    if (!follower->question) continue;
    const bool due = is_due(*follower->question, runtime_.now());
    if (due || follower->question->hold_until < sleeping_until_) wake_.notify_all();
  }
  followers_.erase(id);
  connection->close();
}

bool FollowServer::take_question(Follower& follower, const std::string& frame) {
  Reason reason;
  auto request = wire::decode<follow::FollowRequest>(frame, reason);
  if (!request) {
    runtime_.logger().log(runtime::LogLevel::kWarning, "follow_request_not_readable", reason,
                          {{"proxy", follower.node.value}});
    return false;
  }
  ++statistics_.questions;
  registry_.record_question(follower.node, follower.zone, *request);
  for (const auto& suspect : request->suspects) {
    if (on_suspect_) on_suspect_(suspect);
  }
  const Duration hold = std::clamp<Duration>(request->hold, Duration(0), serving_lease_ / kHoldLeaseDivisor);
  Question question;
  question.arrived = runtime_.now();
  // A replaced question was due by its own time: a follower that asks often must not be held for ever.
  question.hold_until = question.arrived + hold;
  if (follower.question) question.hold_until = std::min(question.hold_until, follower.question->hold_until);
  question.request = std::move(*request);
  follower.question = std::move(question);
  return true;
}

bool FollowServer::is_due(const Question& question, TimePoint now) const {
  if (question.confirmed) return false;
  return now >= question.hold_until || question.request.revision < configuration_.revision() ||
         question.request.news_version < directory_.version();
}

bool FollowServer::any_due() const {
  const TimePoint now = runtime_.now();
  return std::any_of(followers_.begin(), followers_.end(), [&](const auto& entry) {
    return entry.second->question && is_due(*entry.second->question, now);
  });
}

TimePoint FollowServer::next_due() const {
  TimePoint next = TimePoint::max();
  for (const auto& [id, follower] : followers_) {
    if (follower->question && !follower->question->confirmed)
      next = std::min(next, follower->question->hold_until);
  }
  return next;
}

Awaitable<void> FollowServer::run() {
  while (!stopping_) {
    if (any_due()) {
      co_await answer_batch();
    } else {
      sleeping_until_ = next_due();
      co_await wake_.wait_until(sleeping_until_);
    }
    registry_.forget_lapsed(runtime_.now());
  }
}

std::vector<FollowServer::BatchEntry> FollowServer::collect_batch() const {
  // Questions that are due soon join the round: it costs them nothing and saves a round.
  const TimePoint soon = runtime_.now() + kRenewalTick;
  std::vector<BatchEntry> batch;
  for (const auto& [id, follower] : followers_) {
    if (!follower->question || !is_due(*follower->question, soon)) continue;
    batch.push_back({id, follower->question->request.nonce});
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
    const auto follower = find_asker(entry);
    if (!follower) continue;
    if (follower->question->request.revision > 0) {
      answer(follower);
    } else {
      follower->question->confirmed = true;
      first_configurations_.push_back(entry);
    }
  }
  if (first_configurations_.empty() || sending_first_configurations_) co_return;
  sending_first_configurations_ = true;
  runtime_.spawn("follow_server_first", send_first_configurations());
}

std::shared_ptr<FollowServer::Follower> FollowServer::find_asker(const BatchEntry& entry) const {
  const auto found = followers_.find(entry.follower);
  if (found == followers_.end()) return nullptr;
  const auto& question = found->second->question;
  // A question that replaced the one in the batch came after the barrier had begun: it waits for the next.
  return question && question->request.nonce == entry.nonce ? found->second : nullptr;
}

Awaitable<void> FollowServer::send_first_configurations() {
  while (!first_configurations_.empty()) {
    co_await runtime_.sleep_for(Duration(0));  // what else is ready goes first
    const BatchEntry entry = first_configurations_.front();
    first_configurations_.pop_front();
    if (const auto follower = find_asker(entry)) answer(follower);
  }
  sending_first_configurations_ = false;
}

void FollowServer::answer(const std::shared_ptr<Follower>& follower) {
  const Question question = std::move(*follower->question);
  follower->question.reset();
  if (question.request.revision > configuration_.revision()) {
    follower->question = question;
    refuse(follower, Reason{ReasonCode::kConflict, "follow", "", "the follower holds a newer revision"});
    return;
  }
  const Reason come_back{ReasonCode::kOverloaded, "follow", "",
                         "other first configurations are on their way"};
  // A first configuration is not even encoded in vain.
  const bool is_full = question.request.revision == 0 && !has_room(kLargeUpdateBytes);
  const std::string* update = nullptr;
  if (!is_full) update = &encoder_.update_since(question.request.revision, question.request.news_version);
  if (update == nullptr || !has_room(update->size())) {
    ++statistics_.told_to_come_back;
    follower->question = question;
    refuse(follower, come_back);
    return;
  }
  follow::FollowAnswer answer;
  answer.nonce = question.request.nonce;
  answer.revision = configuration_.revision();
  answer.lease = serving_lease_;
  answer.news_version = directory_.version();
  answer.update = *update;
  registry_.record_lease(follower->node, question.arrived);
  ++statistics_.answers;
  send(follower, answer);
}

void FollowServer::refuse(const std::shared_ptr<Follower>& follower, const Reason& reason) {
  follow::FollowAnswer answer;
  answer.nonce = follower->question->request.nonce;
  answer.refusal = reason;
  follower->question.reset();
  ++statistics_.refusals;
  send(follower, answer);
}

void FollowServer::refuse_due(const Reason& reason) {
  const TimePoint now = runtime_.now();
  for (const auto& [id, follower] : followers_) {
    if (follower->question && is_due(*follower->question, now)) refuse(follower, reason);
  }
}

bool FollowServer::has_room(std::size_t update_bytes) const {
  return update_bytes < kLargeUpdateBytes || large_bytes_ == 0 ||
         large_bytes_ + update_bytes <= kMaxLargeUpdateBytesInFlight;
}

void FollowServer::send(const std::shared_ptr<Follower>& follower, const follow::FollowAnswer& answer) {
  Outgoing outgoing;
  outgoing.frame = wire::encode(answer);
  if (answer.update.size() >= kLargeUpdateBytes) {
    outgoing.large_bytes = answer.update.size();
    outgoing.large_number = ++large_updates_;
    large_bytes_ += outgoing.large_bytes;
    runtime_.spawn("follow_server_limit", limit_large_update(follower, outgoing.large_number));
  }
  follower->outgoing.push_back(std::move(outgoing));
  if (follower->sending) return;
  follower->sending = true;
  runtime_.spawn("follow_server_send", send_outgoing(follower));
}

void FollowServer::release(const Outgoing& outgoing) { large_bytes_ -= outgoing.large_bytes; }

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

Awaitable<void> FollowServer::limit_large_update(std::shared_ptr<Follower> follower,
                                                 std::uint64_t large_number) {
  co_await runtime_.sleep_for(kLargeUpdateTimeout);
  for (const auto& outgoing : follower->outgoing) {
    if (outgoing.large_number == large_number) follower->connection->close();
  }
}

}  // namespace cairnhollow::declared::control
