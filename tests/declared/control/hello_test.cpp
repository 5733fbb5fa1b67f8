// Which protocol is spoken: both sides learn why they can't talk, and builds without a range are still met.
#include "wire/hello.h"

#include <cppunit/extensions/HelperMacros.h>

#include "consensus/peer_channel.h"
#include "declared/control/news/news_exchange.h"
#include "declared/follow/follow_client.h"
#include "simulation/world.h"
#include "wire/connection_dispatcher.h"

namespace cairnhollow::declared::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Endpoint kServer{"10.0.1.1", 7000};
const Endpoint kClient{"10.0.1.2", 7000};

/// A control node that serves followers with leases and nothing else.
class ServerRole : public runtime::Role {
 public:
  explicit ServerRole(runtime::Runtime& runtime) : dispatcher_(runtime) {}
  Awaitable<bool> start(Reason& reason) override {
    dispatcher_.route(
        wire::Conversation::kFollow,
        [this](std::shared_ptr<runtime::FrameConnection>, wire::Hello hello) -> Awaitable<void> {
          served.push_back(hello.node.value);
          co_return;
        });
    co_return dispatcher_.start(kServer, reason);
  }
  Awaitable<void> drain() override { co_return; }

  std::vector<std::string> served;

 private:
  wire::ConnectionDispatcher dispatcher_;
};

class FollowerRole : public runtime::Role {
 public:
  FollowerRole(runtime::Runtime& runtime, declared::follow::FollowClientSettings settings)
      : client(runtime, std::move(settings)) {}
  Awaitable<bool> start(Reason&) override {
    client.start();
    co_return true;
  }
  Awaitable<void> drain() override { co_return; }

  declared::follow::FollowClient client;
};

class NewsRole : public runtime::Role {
 public:
  NewsRole(runtime::Runtime& runtime, wire::Hello hello)
      : directory_(runtime),
        news_(runtime, std::move(hello), kClient, directory_, [] { return NewsMessage{}; }) {}
  Awaitable<bool> start(Reason&) override {
    news_.talk_to(kServer);
    co_return true;
  }
  Awaitable<void> drain() override { co_return; }

 private:
  NewsDirectory directory_;
  NewsExchange news_;
};

struct Visits {
  int accepted = 0;
  int with_range = 0;
};

/// What a server of another build does with the first frame of a connection.
enum class OtherBuild { kBeforeTheRange, kLater };

Awaitable<void> answer_as(std::shared_ptr<runtime::FrameConnection> connection, OtherBuild build,
                          Visits* visits) {
  Reason reason;
  const auto hello = co_await connection->receive(reason);
  const bool with_range = hello && wire::marked_format(*hello);
  visits->with_range += with_range ? 1 : 0;
  if (hello && build == OtherBuild::kLater) {
    wire::HelloAnswer answer;
    answer.supported = {7, 9};
    answer.refusal = Reason{ReasonCode::kUnsupported, "hello", "", "the control node speaks 7 to 9"};
    std::string frame = wire::encode_hello_answer(answer);
    co_await connection->send(std::move(frame), reason);
  }
  while (hello && !with_range && build == OtherBuild::kBeforeTheRange) {
    const auto question = co_await connection->receive(reason);
    const auto request =
        question ? wire::decode<declared::follow::FollowRequest>(*question, reason) : std::nullopt;
    if (!request) break;
    declared::follow::FollowAnswer answer;
    answer.nonce = request->nonce;
    answer.lease = seconds(2);
    std::string frame = wire::encode(answer);
    co_await connection->send(std::move(frame), reason);
  }
  connection->close();
}

Awaitable<void> serve_as(runtime::Runtime* runtime, runtime::FrameListener* listener, OtherBuild build,
                         Visits* visits) {
  Reason reason;
  while (auto connection = co_await listener->accept(reason)) {
    ++visits->accepted;
    runtime->spawn("answer", answer_as(std::move(connection), build, visits));
  }
}

/// Sends one frame and keeps what comes back until the server closes.
Awaitable<void> greet(runtime::Runtime* runtime, std::string frame, std::vector<std::string>* received,
                      bool* closed) {
  Reason reason;
  const TimePoint deadline = runtime->now() + seconds(1);
  const auto connection = co_await runtime->network().connect(kServer, deadline, reason);
  if (!connection) co_return;
  co_await connection->send(std::move(frame), reason);
  while (auto answer = co_await connection->receive(reason)) received->push_back(std::move(*answer));
  *closed = true;
}

class HelloTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HelloTest);
  CPPUNIT_TEST(a_range_is_answered);
  CPPUNIT_TEST(a_hello_without_a_range_gets_no_answer);
  CPPUNIT_TEST(ranges_that_do_not_meet_are_refused_on_both_sides);
  CPPUNIT_TEST(a_build_before_the_range_is_met_in_its_way);
  CPPUNIT_TEST(a_follower_that_is_refused_knows_why_and_comes_seldom);
  CPPUNIT_TEST(a_voter_that_is_refused_comes_seldom);
  CPPUNIT_TEST(a_teller_of_news_that_is_refused_comes_seldom);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    client_ = &world_->start_bare({"client", "10.0.1.2", ZoneName("zone-1")});
    received_.clear();
    closed_ = false;
    visits_ = Visits{};
  }

  void tearDown() override {
    listener_.reset();
    world_.reset();
  }

  void a_range_is_answered() {
    start_server();
    send(wire::encode(hello({1, 9}), wire::kMarkedFormat));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received_.size());
    Reason reason;
    wire::ClientHandshake greeting;
    const auto effect = greeting.handle_frame(received_.front(), "server", reason);
    CPPUNIT_ASSERT(effect == wire::ClientHandshake::Outcome::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server().served.size());
  }

  void a_hello_without_a_range_gets_no_answer() {
    start_server();
    send(wire::encode(hello({1, 1})));
    CPPUNIT_ASSERT(received_.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server().served.size());
  }

  void ranges_that_do_not_meet_are_refused_on_both_sides() {
    start_server();
    send(wire::encode(hello({3, 4}), wire::kMarkedFormat));
    CPPUNIT_ASSERT(server().served.empty());
    CPPUNIT_ASSERT(closed_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received_.size());
    Reason reason;
    wire::ClientHandshake greeting;
    const auto effect = greeting.handle_frame(received_.front(), "server", reason);
    CPPUNIT_ASSERT(effect == wire::ClientHandshake::Outcome::kRefused);
    CPPUNIT_ASSERT(reason.code == ReasonCode::kUnsupported);
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), reason.step);
    CPPUNIT_ASSERT_EQUAL(std::string("server"), reason.peer);
    const bool names_both = reason.detail.find("protocol versions 3 to 4") != std::string::npos &&
                            reason.detail.find("the control node 1 to 2") != std::string::npos;
    CPPUNIT_ASSERT_MESSAGE(reason.detail, names_both);
  }

  void a_build_before_the_range_is_met_in_its_way() {
    start_other(OtherBuild::kBeforeTheRange);
    auto& client = start_follower();
    world_->run_for(seconds(1));
    CPPUNIT_ASSERT(client.lease_valid(world_->runtime("role").now()));
    CPPUNIT_ASSERT_EQUAL(2, visits_.accepted);
    CPPUNIT_ASSERT_EQUAL(1, visits_.with_range);
  }

  void a_follower_that_is_refused_knows_why_and_comes_seldom() {
    start_other(OtherBuild::kLater);
    auto& client = start_follower();
    world_->run_for(seconds(60));
    CPPUNIT_ASSERT(!client.lease_valid(world_->runtime("role").now()));
    CPPUNIT_ASSERT(client.last_failure().code == ReasonCode::kUnsupported);
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), client.last_failure().step);
    CPPUNIT_ASSERT(!client.last_failure().peer.empty());
    CPPUNIT_ASSERT_MESSAGE(std::to_string(visits_.accepted), visits_.accepted < 60);
  }

  void a_voter_that_is_refused_comes_seldom() {
    consensus::PeerChannelSettings settings;
    settings.peer = NodeName("server");
    settings.endpoint = kServer;
    settings.stall_limit = seconds(1);
    const auto channel = std::make_shared<consensus::PeerChannel>(*client_, settings);
    start_other(OtherBuild::kLater);
    client_->spawn("channel", channel->run(channel));
    world_->run_for(seconds(60));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(visits_.accepted), visits_.accepted > 5 && visits_.accepted < 30);
  }

  void a_teller_of_news_that_is_refused_comes_seldom() {
    start_other(OtherBuild::kLater);
    world_->start({"role", "10.0.1.3", ZoneName("zone-1")}, [](runtime::Runtime& runtime) {
      return std::make_unique<NewsRole>(runtime, hello({1, 2}));
    });
    world_->run_for(seconds(60));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(visits_.accepted), visits_.accepted > 5 && visits_.accepted < 30);
  }

 private:
  static wire::Hello hello(wire::ProtocolRange range) {
    wire::Hello hello;
    hello.protocol_version = range.lowest;
    hello.highest_version = range.highest;
    hello.node = NodeName("client");
    return hello;
  }
  static declared::follow::FollowClientSettings follow_settings() {
    declared::follow::FollowClientSettings settings;
    settings.node = NodeName("client");
    settings.control_endpoints = {kServer};
    return settings;
  }
  declared::follow::FollowClient& start_follower() {
    world_->start({"role", "10.0.1.3", ZoneName("zone-1")}, [](runtime::Runtime& runtime) {
      return std::make_unique<FollowerRole>(runtime, follow_settings());
    });
    return dynamic_cast<FollowerRole&>(world_->role("role")).client;
  }
  void start_server() {
    world_->start({"server", kServer.address, ZoneName("zone-1")},
                  [](runtime::Runtime& runtime) { return std::make_unique<ServerRole>(runtime); });
    world_->run_for(milliseconds(10));
  }
  ServerRole& server() { return dynamic_cast<ServerRole&>(world_->role("server")); }
  void start_other(OtherBuild build) {
    auto& runtime = world_->start_bare({"server", kServer.address, ZoneName("zone-1")});
    Reason reason;
    listener_ = runtime.network().listen(kServer, reason);
    CPPUNIT_ASSERT_MESSAGE(reason.to_string(), listener_);
    runtime.spawn("serve", serve_as(&runtime, listener_.get(), build, &visits_));
  }
  void send(std::string frame) {
    client_->spawn("greet", greet(client_, std::move(frame), &received_, &closed_));
    world_->run_for(seconds(1));
  }

  std::unique_ptr<simulation::World> world_;
  simulation::VirtualRuntime* client_ = nullptr;
  std::unique_ptr<runtime::FrameListener> listener_;
  std::vector<std::string> received_;
  bool closed_ = false;
  Visits visits_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HelloTest);

}  // namespace
}  // namespace cairnhollow::declared::control
