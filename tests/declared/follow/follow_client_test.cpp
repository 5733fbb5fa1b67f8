// A follower pauses between attempts when every control node refuses it, and retries on the same connection
// when a busy control node refuses it.
#include "declared/follow/follow_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include "declared/follow/knobs.h"
#include "declared/follow/messages.h"
#include "simulation/world.h"
#include "wire/codec.h"
#include "wire/hello.h"

namespace cairnhollow::declared::follow {
namespace {

const Endpoint kControlEndpoint{"10.0.0.1", 4000};

/// A control node that refuses every request.
class RefusingControlNode : public runtime::Role {
 public:
  explicit RefusingControlNode(runtime::Runtime& runtime) : runtime_(runtime) {}

  Awaitable<bool> start(Reason& reason) override {
    listener_ = runtime_.network().listen(kControlEndpoint, reason);
    if (!listener_) co_return false;
    runtime_.spawn("accept", accept());
    co_return true;
  }
  Awaitable<void> drain() override { co_return; }
  [[nodiscard]] std::uint64_t questions() const { return questions_; }

  /// Reason of the refusals; kNone grants a lease at once.
  ReasonCode refusal = ReasonCode::kNoQuorum;

 private:
  Awaitable<void> accept() {
    while (true) {
      Reason reason;
      auto connection = co_await listener_->accept(reason);
      if (!connection) co_return;
      runtime_.spawn("refuse", refuse(std::move(connection)));
    }
  }

  Awaitable<void> refuse(std::shared_ptr<runtime::FrameConnection> connection) {
    Reason reason;
    const auto hello = co_await connection->receive(reason);
    while (hello) {
      const auto frame = co_await connection->receive(reason);
      if (!frame) co_return;
      const auto request = wire::decode<FollowRequest>(*frame, reason);
      if (!request) co_return;
      ++questions_;
      FollowAnswer answer;
      answer.nonce = request->nonce;
      answer.lease = std::chrono::seconds(2);
      if (refusal != ReasonCode::kNone) answer.refusal = Reason{refusal, "test", "control-1", "refused"};
      std::string encoded = wire::encode(answer);
      co_await connection->send(std::move(encoded), reason);
    }
  }

  runtime::Runtime& runtime_;
  std::unique_ptr<runtime::FrameListener> listener_;
  std::uint64_t questions_ = 0;
};

class FollowClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FollowClientTest);
  CPPUNIT_TEST(pauses_between_attempts_when_refused);
  CPPUNIT_TEST(retries_a_busy_node_on_the_same_connection);
  CPPUNIT_TEST(leaves_a_node_that_stays_busy);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    world_->start({"control-1", "10.0.0.1", ZoneName("zone-a"), Duration(0), 0},
                  [](runtime::Runtime& runtime) { return std::make_unique<RefusingControlNode>(runtime); });
    auto& runtime = world_->start_bare({"proxy-1", "10.0.0.2", ZoneName("zone-a"), Duration(0), 0});
    FollowClientSettings settings;
    settings.node = NodeName("proxy-1");
    settings.control_endpoints = {kControlEndpoint};
    client_ = std::make_unique<FollowClient>(runtime, settings);
  }
  void tearDown() override {
    client_->stop();
    world_->run_for(std::chrono::seconds(2));
    world_.reset();
  }

  void pauses_between_attempts_when_refused() {
    client_->start();
    world_->run_for(std::chrono::seconds(2));
    // Pauses of at least 50 ms limit the number of requests in 2 s.
    CPPUNIT_ASSERT(control().questions() >= 2);
    CPPUNIT_ASSERT(control().questions() <= 40);
  }

  void retries_a_busy_node_on_the_same_connection() {
    control().refusal = ReasonCode::kOverloaded;
    client_->start();
    world_->run_for(std::chrono::seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, client_->statistics().node_switches);
    CPPUNIT_ASSERT(!client_->lease_valid(world_->runtime("proxy-1").now()));
    CPPUNIT_ASSERT(control().questions() >= 6);
    CPPUNIT_ASSERT(control().questions() <= 20);
    control().refusal = ReasonCode::kNone;
    world_->run_for(3 * kBusyRetryPause);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, client_->statistics().node_switches);
    CPPUNIT_ASSERT(client_->lease_valid(world_->runtime("proxy-1").now()));
  }

  void leaves_a_node_that_stays_busy() {
    control().refusal = ReasonCode::kOverloaded;
    client_->start();
    world_->run_for(kBusyTimeout + 4 * kBusyRetryPause);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, client_->statistics().node_switches);
  }

 private:
  RefusingControlNode& control() { return dynamic_cast<RefusingControlNode&>(world_->role("control-1")); }

  std::unique_ptr<simulation::World> world_;
  std::unique_ptr<FollowClient> client_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FollowClientTest);

}  // namespace
}  // namespace cairnhollow::declared::follow
