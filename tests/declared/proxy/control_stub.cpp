#include "tests/declared/proxy/control_stub.h"

#include "wire/codec.h"
#include "wire/hello.h"

namespace cairnhollow::declared::proxy {

namespace {

constexpr Duration kLease = std::chrono::seconds(2);

}  // namespace

ControlStub::ControlStub(runtime::Runtime& runtime, Endpoint endpoint)
    : runtime_(runtime), endpoint_(std::move(endpoint)), changed_(runtime) {}

Awaitable<bool> ControlStub::start(Reason& reason) {
  listener_ = runtime_.network().listen(endpoint_, reason);
  if (!listener_) co_return false;
  runtime_.spawn("accept", accept());
  co_return true;
}

Awaitable<void> ControlStub::drain() {
  listener_->close();
  co_return;
}

void ControlStub::put(std::vector<config::Object> objects) {
  ++revision_;
  for (auto& object : objects) {
    const auto key = object.key();
    objects_.insert_or_assign(key, config::StoredObject{std::move(object), revision_});
  }
  changed_.notify_all();
}

void ControlStub::set_primary(const GroupName& group, std::uint64_t term, const BackendName& primary) {
  groups_.insert_or_assign(group, follow::GroupState{group, term, primary});
  ++news_version_;
  changed_.notify_all();
}

void ControlStub::set_leaving(std::vector<std::string> names) {
  leaving_ = std::move(names);
  ++news_version_;
  changed_.notify_all();
}

Awaitable<void> ControlStub::accept() {
  while (true) {
    Reason reason;
    auto connection = co_await listener_->accept(reason);
    if (!connection) co_return;
    runtime_.spawn("serve", serve(std::move(connection)));
  }
}

Awaitable<void> ControlStub::serve(std::shared_ptr<runtime::FrameConnection> connection) {
  Reason reason;
  const auto hello = co_await connection->receive(reason);
  if (!hello) co_return;
  while (true) {
    const auto frame = co_await connection->receive(reason);
    if (!frame) co_return;
    auto question = wire::decode<follow::FollowRequest>(*frame, reason);
    if (!question) co_return;
    suspects_.insert(suspects_.end(), question->suspects.begin(), question->suspects.end());
    saw_draining_ = saw_draining_ || question->draining;
    const bool sent = co_await answer(connection, std::move(*question));
    if (!sent) co_return;
  }
}

Awaitable<bool> ControlStub::answer(std::shared_ptr<runtime::FrameConnection> connection,
                                    follow::FollowRequest question) {
  const TimePoint hold_until = runtime_.now() + question.hold;
  while (question.revision == revision_ && question.news_version == news_version_ &&
         runtime_.now() < hold_until) {
    co_await changed_.wait_until(hold_until);
  }
  if (!answering_) co_return true;
  follow::FollowAnswer reply;
  reply.nonce = question.nonce;
  reply.revision = revision_;
  reply.lease = kLease;
  reply.news_version = news_version_;
  if (question.revision != revision_ || question.news_version != news_version_) reply.update = update();
  Reason reason;
  std::string frame = wire::encode(reply);
  const bool sent = co_await connection->send(std::move(frame), reason);
  co_return sent;
}

std::string ControlStub::update() const {
  follow::FollowUpdate update;
  config::ConfigSnapshot snapshot;
  for (const auto& [key, stored] : objects_) snapshot.objects.push_back(stored);
  update.configuration = std::move(snapshot);
  update.has_news = true;
  for (const auto& [name, state] : groups_) update.groups.push_back(state);
  update.leaving = leaving_;
  return wire::encode(update);
}

}  // namespace cairnhollow::declared::proxy
