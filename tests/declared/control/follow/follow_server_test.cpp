// Tests the follow protocol end to end over the simulated network: incremental updates, snapshots, leases
// renewed only by a quorum round, and malformed frames.
#include "declared/control/follow/follow_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include "declared/control/control_node.h"
#include "simulation/world.h"
#include "tests/declared/control/follow/follow_roles.h"

namespace cairnhollow::declared::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::ClientRole;
using testing::kLease;
using testing::kRelay;
using testing::kSecond;
using testing::kServer;
using testing::ServerRole;
using testing::write_command;

/// Sends raw frames and sets `closed` once the server has closed the connection.
Awaitable<void> send_frames(runtime::Runtime& runtime, std::vector<std::string> frames, bool& closed) {
  Reason reason;
  const TimePoint deadline = runtime.now() + seconds(1);
  const auto connection = co_await runtime.network().connect(kServer, deadline, reason);
  if (!connection) co_return;
  for (std::string frame : frames) {
    const bool sent = co_await connection->send(std::move(frame), reason);
    if (!sent) break;
  }
  while (true) {
    const auto answer = co_await connection->receive(reason);
    if (!answer) break;
  }
  closed = true;
}

class FollowServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FollowServerTest);
  CPPUNIT_TEST(new_follower_gets_a_snapshot_then_changes);
  CPPUNIT_TEST(follower_restarted_after_500_changes_gets_a_snapshot);
  CPPUNIT_TEST(reconnected_follower_gets_only_the_500_missed_changes);
  CPPUNIT_TEST(grants_no_lease_without_a_quorum);
  CPPUNIT_TEST(followers_share_quorum_rounds);
  CPPUNIT_TEST(relay_serves_many_followers_with_few_requests);
  CPPUNIT_TEST(disconnected_relay_renews_no_lease);
  CPPUNIT_TEST(relay_refused_by_one_voter_tries_the_next);
  CPPUNIT_TEST(news_completes_a_held_request_at_once);
  CPPUNIT_TEST(malformed_frames_close_the_connection);
  CPPUNIT_TEST(least_revision_ignores_expired_leases);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    simulation::WorldSettings settings;
    settings.seed = 5;
    world_ = std::make_unique<simulation::World>(settings);
    world_->start({"server", kServer.address, ZoneName("zone-1")},
                  [](runtime::Runtime& runtime) { return std::make_unique<ServerRole>(runtime); });
  }
  void tearDown() override { world_.reset(); }

  void new_follower_gets_a_snapshot_then_changes() {
    write(3);
    start_client(1);
    world_->run_for(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, client(1).current().revision);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, client(1).statistics().snapshots);
    write(2);
    world_->run_for(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, client(1).current().revision);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, client(1).statistics().snapshots);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, client(1).current().objects.size());
  }

  void follower_restarted_after_500_changes_gets_a_snapshot() {
    write(3);
    start_client(1);
    world_->run_for(milliseconds(300));
    world_->kill(client_name(1));
    write(500);
    world_->restart(client_name(1));
    world_->run_for(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{503}, client(1).current().revision);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, client(1).statistics().snapshots);
    CPPUNIT_ASSERT(client(1).lease_valid(world_->runtime(client_name(1)).now()));
  }

  void reconnected_follower_gets_only_the_500_missed_changes() {
    write(3);
    start_client(1);
    world_->run_for(milliseconds(300));
    cut(1);
    write(500);
    world_->run_for(seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, client(1).current().revision);
    CPPUNIT_ASSERT(!client(1).lease_valid(world_->runtime(client_name(1)).now()));
    world_->heal();
    world_->run_for(seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{503}, client(1).current().revision);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, client(1).statistics().snapshots);
    CPPUNIT_ASSERT(client(1).lease_valid(world_->runtime(client_name(1)).now()));
  }

  void grants_no_lease_without_a_quorum() {
    write(3);
    start_client(1);
    world_->run_for(milliseconds(300));
    CPPUNIT_ASSERT(client(1).lease_valid(world_->runtime(client_name(1)).now()));
    server().consensus.quorum = false;
    world_->run_for(kLease + milliseconds(1));
    // The last lease counts from when its request was sent, so it has expired by now.
    const TimePoint now = world_->runtime(client_name(1)).now();
    CPPUNIT_ASSERT(!client(1).lease_valid(now));
    CPPUNIT_ASSERT(client(1).last_failure().code == ReasonCode::kNoQuorum);
    world_->run_for(seconds(600));
    CPPUNIT_ASSERT(!client(1).lease_valid(world_->runtime(client_name(1)).now()));
    server().consensus.quorum = true;
    world_->run_for(seconds(2));
    CPPUNIT_ASSERT(client(1).lease_valid(world_->runtime(client_name(1)).now()));
  }

  void followers_share_quorum_rounds() {
    constexpr int kFollowers = 40;
    for (int number = 1; number <= kFollowers; ++number) start_client(number);
    world_->run_for(seconds(2));
    const int rounds_before = server().consensus.rounds;
    const auto answers_before = server().server.statistics().answers;
    write(1);
    world_->run_for(milliseconds(15));
    // Every follower receives the change from the same round, apart from those with a request in transit.
    CPPUNIT_ASSERT(server().server.statistics().answers - answers_before >= kFollowers);
    CPPUNIT_ASSERT(server().consensus.rounds - rounds_before <= 4);
  }

  void relay_serves_many_followers_with_few_requests() {
    constexpr int kFollowers = 40;
    write(3);
    start_relay();
    for (int number = 1; number <= kFollowers; ++number) start_client(number, kRelay);
    world_->run_for(seconds(2));
    for (int number = 1; number <= kFollowers; ++number) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, client(number).current().revision);
    }
    // The relay is the server's only follower and sends one request for all waiting followers.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server().server.connections());
    const auto asked_before = server().server.statistics().requests;
    std::uint64_t answered_before = 0;
    for (int number = 1; number <= kFollowers; ++number)
      answered_before += client(number).statistics().answers;
    write(1);
    world_->run_for(milliseconds(150));
    std::uint64_t answered = 0;
    for (int number = 1; number <= kFollowers; ++number) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, client(number).current().revision);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, client(number).statistics().snapshots);
      answered += client(number).statistics().answers;
    }
    CPPUNIT_ASSERT(answered - answered_before >= kFollowers);
    CPPUNIT_ASSERT(server().server.statistics().requests - asked_before <= 10);
    server().directory.learn(follow::GroupState{GroupName("decks"), 7, BackendName("b")});
    world_->run_for(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, client(1).current().groups.at(GroupName("decks")).term);
    CPPUNIT_ASSERT(world_->faults().empty());
  }

  void disconnected_relay_renews_no_lease() {
    write(3);
    start_relay();
    start_client(1, kRelay);
    world_->run_for(seconds(2));
    CPPUNIT_ASSERT(client(1).lease_valid(world_->runtime(client_name(1)).now()));
    auto& faults = world_->network().faults();
    faults.cut_machines(kRelay.address, kServer.address);
    faults.cut_machines(kServer.address, kRelay.address);
    write(1);
    world_->run_for(kLease + milliseconds(1));
    for (int minute = 0; minute < 10; ++minute) {
      CPPUNIT_ASSERT(!client(1).lease_valid(world_->runtime(client_name(1)).now()));
      world_->run_for(seconds(60));
    }
    world_->heal();
    world_->run_for(seconds(5));
    CPPUNIT_ASSERT(client(1).lease_valid(world_->runtime(client_name(1)).now()));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, client(1).current().revision);
  }

  void relay_refused_by_one_voter_tries_the_next() {
    write(3);
    world_->start({"second", kSecond.address, ZoneName("zone-1")},
                  [](runtime::Runtime& runtime) { return std::make_unique<ServerRole>(runtime, kSecond); });
    auto& second = dynamic_cast<ServerRole&>(world_->role("second"));
    for (int number = 1; number <= 3; ++number) {
      second.replica.apply(static_cast<std::uint64_t>(number), write_command(number, "backend-1"));
    }
    start_relay({kServer, kSecond});
    start_client(1, kRelay);
    world_->run_for(seconds(2));
    server().consensus.quorum = false;
    for (int step = 0; step < 20; ++step) {
      world_->run_for(milliseconds(100));
      CPPUNIT_ASSERT(client(1).lease_valid(world_->runtime(client_name(1)).now()));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, client(1).statistics().node_switches);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.server.connections());
  }

  void news_completes_a_held_request_at_once() {
    start_client(1);
    world_->run_for(seconds(1));
    server().directory.learn(follow::GroupState{GroupName("decks"), 7, BackendName("b")});
    world_->run_for(milliseconds(20));
    const auto& groups = client(1).current().groups;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, groups.at(GroupName("decks")).term);
    // A state with an older term is ignored.
    server().directory.learn(follow::GroupState{GroupName("decks"), 6, BackendName("c")});
    world_->run_for(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), groups.at(GroupName("decks")).primary.value);
  }

  void malformed_frames_close_the_connection() {
    wire::Hello hello;
    hello.node = NodeName("torn");
    const std::string greeting = wire::encode(hello);
    wire::Hello newer = hello;
    newer.protocol_version = wire::kProtocolVersion + 1;
    const std::string request = wire::encode(follow::FollowRequest{});
    const std::vector<std::vector<std::string>> conversations{
        {""},
        {"nonsense"},
        {greeting.substr(0, greeting.size() - 1)},
        {wire::encode(newer)},
        {greeting, ""},
        {greeting, request.substr(0, request.size() / 2)},
        {greeting, request + "x"}};
    std::vector<std::unique_ptr<bool>> closed;
    auto& runtime = world_->start_bare({"sender", "10.0.1.9", ZoneName("zone-1")});
    for (const auto& frames : conversations) {
      closed.push_back(std::make_unique<bool>(false));
      runtime.spawn("send", send_frames(runtime, frames, *closed.back()));
    }
    world_->run_for(milliseconds(500));
    for (const auto& flag : closed) CPPUNIT_ASSERT(*flag);
    start_client(1);
    world_->run_for(milliseconds(300));
    CPPUNIT_ASSERT(client(1).lease_valid(world_->runtime(client_name(1)).now()));
    CPPUNIT_ASSERT(world_->faults().empty());
  }

  void least_revision_ignores_expired_leases() {
    start_client(1);
    start_client(2);
    world_->run_for(seconds(1));
    cut(2);
    write(1);
    world_->run_for(milliseconds(600));
    const auto least = [&] {
      return server().server.registry().least_revision(world_->runtime("server").now()).value_or(99);
    };
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, least());
    // After the disconnected follower's lease has expired, clock drift included, it no longer counts.
    world_->run_for(lease_with_drift(kLease));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, least());
  }

 private:
  static std::string client_name(int number) { return "client-" + std::to_string(number); }
  static std::string client_address(int number) { return "10.0.2." + std::to_string(number); }
  ServerRole& server() { return dynamic_cast<ServerRole&>(world_->role("server")); }
  follow::FollowClient& client(int number) {
    return dynamic_cast<ClientRole&>(world_->role(client_name(number))).client;
  }
  void start_relay(const std::vector<Endpoint>& followed = {kServer}) {
    ControlSettings settings;
    settings.node = NodeName("relay");
    settings.zone = ZoneName("zone-1");
    settings.peer_endpoint = kRelay;
    settings.operator_endpoint = Endpoint{kRelay.address, 4001};
    settings.serving_lease = kLease;
    settings.relay = true;
    settings.control_endpoints = followed;
    world_->start({"relay", kRelay.address, ZoneName("zone-1")},
                  [settings](runtime::Runtime& runtime) { return make_control_node(runtime, settings); });
  }
  void start_client(int number, const Endpoint& followed = kServer) {
    follow::FollowClientSettings settings;
    settings.node = NodeName(client_name(number));
    settings.zone = ZoneName("zone-2");
    settings.control_endpoints.push_back(followed);
    world_->start(
        {client_name(number), client_address(number), ZoneName("zone-2")},
        [settings](runtime::Runtime& runtime) { return std::make_unique<ClientRole>(runtime, settings); });
  }
  void cut(int number) {
    auto& faults = world_->network().faults();
    faults.cut_machines(client_address(number), kServer.address);
    faults.cut_machines(kServer.address, client_address(number));
  }
  void write(int count) {
    for (int i = 0; i < count; ++i) {
      ++written_;
      server().replica.apply(static_cast<std::uint64_t>(written_),
                             write_command(written_, "backend-" + std::to_string(written_ % 20)));
    }
  }

  std::unique_ptr<simulation::World> world_;
  int written_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FollowServerTest);

}  // namespace
}  // namespace cairnhollow::declared::control
