// Tests protocol negotiation: both sides learn why they are incompatible, and peers built before version
// ranges existed are still supported.
#include "wire/hello.h"

#include <cppunit/extensions/HelperMacros.h>

#include "consensus/peer_channel.h"
#include "declared/control/news/peer_exchange.h"
#include "declared/follow/follow_client.h"
#include "simulation/world.h"
#include "wire/connection_dispatcher.h"

namespace cairnhollow::declared::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Endpoint kServer{"10.0.1.1", 7000};
const Endpoint kClient{"10.0.1.2", 7000};

/// A control node that accepts follow connections and records who connected.
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

class PeerExchangeRole : public runtime::Role {
 public:
  PeerExchangeRole(runtime::Runtime& runtime, wire::Hello hello)
      : directory_(runtime),
        exchange_(runtime, std::move(hello), kClient, directory_, [] { return PeerStatusMessage{}; }) {}
  Awaitable<bool> start(Reason&) override {
    exchange_.add_peer(kServer);
    co_return true;
  }
  Awaitable<void> drain() override { co_return; }

 private:
  ClusterStateDirectory directory_;
  PeerExchange exchange_;
};

struct ConnectionCounts {
  int accepted = 0;
  int with_range = 0;
};

/// Protocol behavior of a server from another build on the first frame of a connection.
enum class ServerBuild { kWithoutVersionRange, kNewerVersions };

Awaitable<void> answer_as(std::shared_ptr<runtime::FrameConnection> connection, ServerBuild build,
                          ConnectionCounts* connection_counts) {
  Reason reason;
  const auto hello = co_await connection->receive(reason);
  const bool with_range = hello && wire::marked_format(*hello);
  connection_counts->with_range += with_range ? 1 : 0;
  if (hello && build == ServerBuild::kNewerVersions) {
    wire::HelloAnswer answer;
    answer.supported = {7, 9};
    answer.refusal = Reason{ReasonCode::kUnsupported, "hello", "", "the control node speaks 7 to 9"};
    std::string frame = wire::encode_hello_answer(answer);
    co_await connection->send(std::move(frame), reason);
  }
  while (hello && !with_range && build == ServerBuild::kWithoutVersionRange) {
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

Awaitable<void> serve_as(runtime::Runtime* runtime, runtime::FrameListener* listener, ServerBuild build,
                         ConnectionCounts* connection_counts) {
  Reason reason;
  while (auto connection = co_await listener->accept(reason)) {
    ++connection_counts->accepted;
    runtime->spawn("answer", answer_as(std::move(connection), build, connection_counts));
  }
}

/// Sends one frame and collects the answers until the server closes the connection.
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
  CPPUNIT_TEST(answers_hello_with_version_range);
  CPPUNIT_TEST(sends_no_answer_to_hello_without_version_range);
  CPPUNIT_TEST(refuses_disjoint_version_ranges_on_both_sides);
  CPPUNIT_TEST(follower_falls_back_for_server_without_version_range);
  CPPUNIT_TEST(refused_follower_reports_reason_and_backs_off);
  CPPUNIT_TEST(refused_voter_backs_off);
  CPPUNIT_TEST(refused_peer_exchange_backs_off);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    client_ = &world_->start_bare({"client", "10.0.1.2", ZoneName("zone-1")});
    received_.clear();
    closed_ = false;
    connection_counts_ = ConnectionCounts{};
  }

  void tearDown() override {
    listener_.reset();
    world_.reset();
  }

  void answers_hello_with_version_range() {
    start_server();
    send(wire::encode(hello({1, 9}), wire::kMarkedFormat));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received_.size());
    Reason reason;
    wire::ClientHandshake greeting;
    const auto effect = greeting.handle_frame(received_.front(), "server", reason);
    CPPUNIT_ASSERT(effect == wire::ClientHandshake::Outcome::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server().served.size());
  }

  void sends_no_answer_to_hello_without_version_range() {
    start_server();
    send(wire::encode(hello({1, 1})));
    CPPUNIT_ASSERT(received_.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server().served.size());
  }

  void refuses_disjoint_version_ranges_on_both_sides() {
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

  void follower_falls_back_for_server_without_version_range() {
    start_server_of_build(ServerBuild::kWithoutVersionRange);
    auto& client = start_follower();
    world_->run_for(seconds(1));
    CPPUNIT_ASSERT(client.lease_valid(world_->runtime("role").now()));
    CPPUNIT_ASSERT_EQUAL(2, connection_counts_.accepted);
    CPPUNIT_ASSERT_EQUAL(1, connection_counts_.with_range);
  }

  void refused_follower_reports_reason_and_backs_off() {
    start_server_of_build(ServerBuild::kNewerVersions);
    auto& client = start_follower();
    world_->run_for(seconds(60));
    CPPUNIT_ASSERT(!client.lease_valid(world_->runtime("role").now()));
    CPPUNIT_ASSERT(client.last_failure().code == ReasonCode::kUnsupported);
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), client.last_failure().step);
    CPPUNIT_ASSERT(!client.last_failure().peer.empty());
    CPPUNIT_ASSERT_MESSAGE(std::to_string(connection_counts_.accepted), connection_counts_.accepted < 60);
  }

  void refused_voter_backs_off() {
    consensus::PeerChannelSettings settings;
    settings.peer = NodeName("server");
    settings.endpoint = kServer;
    settings.stall_limit = seconds(1);
    const auto channel = std::make_shared<consensus::PeerChannel>(*client_, settings);
    start_server_of_build(ServerBuild::kNewerVersions);
    client_->spawn("channel", channel->run(channel));
    world_->run_for(seconds(60));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(connection_counts_.accepted),
                           connection_counts_.accepted > 5 && connection_counts_.accepted < 30);
  }

  void refused_peer_exchange_backs_off() {
    start_server_of_build(ServerBuild::kNewerVersions);
    world_->start({"role", "10.0.1.3", ZoneName("zone-1")}, [](runtime::Runtime& runtime) {
      return std::make_unique<PeerExchangeRole>(runtime, hello({1, 2}));
    });
    world_->run_for(seconds(60));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(connection_counts_.accepted),
                           connection_counts_.accepted > 5 && connection_counts_.accepted < 30);
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
  void start_server_of_build(ServerBuild build) {
    auto& runtime = world_->start_bare({"server", kServer.address, ZoneName("zone-1")});
    Reason reason;
    listener_ = runtime.network().listen(kServer, reason);
    CPPUNIT_ASSERT_MESSAGE(reason.to_string(), listener_);
    runtime.spawn("serve", serve_as(&runtime, listener_.get(), build, &connection_counts_));
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
  ConnectionCounts connection_counts_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HelloTest);

}  // namespace
}  // namespace cairnhollow::declared::control
