// Many followers request their first configuration at once: in-flight updates are limited, excess followers
// are refused, and lease renewals continue.
#include <cppunit/extensions/HelperMacros.h>

#include <deque>

#include "declared/control/follow/follow_server.h"
#include "declared/control/knobs.h"
#include "declared/follow/follow_client.h"
#include "simulation/world.h"
#include "wire/codec.h"

namespace cairnhollow::declared::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kObjects = 2000;
constexpr std::size_t kLabelBytes = 1000;
/// Number of configurations of this size that may be in flight at once.
constexpr std::size_t kInFlightLimit = kMaxLargeUpdateBytesInFlight / (kObjects * (kLabelBytes + 100));
constexpr std::uint64_t kRevision = 7;

class OpenBarrier : public RenewalBarrier {
 public:
  Awaitable<bool> wait(TimePoint, Reason&) override { co_return true; }
};

/// A configuration of about 2 MB.
class LargeConfig : public ConfigView {
 public:
  explicit LargeConfig(runtime::Runtime& runtime) : changed_(runtime) {}
  [[nodiscard]] std::uint64_t revision() const override { return kRevision; }
  [[nodiscard]] std::vector<config::StoredObject> objects() const override {
    config::Object object{"", {}, config::ProxySpec{}};
    object.labels.entries["text"] = std::string(kLabelBytes, 'x');
    std::vector<config::StoredObject> objects;
    for (std::size_t number = 0; number < kObjects; ++number) {
      object.name = "proxy-" + std::to_string(number);
      objects.push_back({object, 1});
    }
    return objects;
  }
  [[nodiscard]] std::optional<config::ConfigChanges> changes_since(std::uint64_t) const override {
    return config::ConfigChanges{};
  }
  runtime::Signal& changed() override { return changed_; }

 private:
  runtime::Signal changed_;
};

/// Completes the send of an update only after resume_receiving().
class SlowConnection : public runtime::FrameConnection {
 public:
  explicit SlowConnection(runtime::Runtime& runtime) : changed_(runtime) {}

  Awaitable<bool> send(std::string frame, Reason& reason) override {
    auto answer = wire::decode<follow::FollowAnswer>(frame, reason);
    answers.push_back(*answer);
    while (!closed && !receiving && !answer->update.empty()) co_await changed_.wait();
    co_return !closed;
  }
  Awaitable<std::optional<std::string>> receive(Reason& reason) override {
    while (questions_.empty() && !closed) co_await changed_.wait();
    if (closed) {
      reason.code = ReasonCode::kConnectionLost;
      co_return std::nullopt;
    }
    std::string question = std::move(questions_.front());
    questions_.pop_front();
    co_return question;
  }
  void close() override {
    closed = true;
    changed_.notify_all();
  }
  [[nodiscard]] std::string peer() const override { return "slow"; }

  void send_request(std::uint64_t nonce, std::uint64_t revision) {
    follow::FollowRequest request;
    request.nonce = nonce;
    request.revision = revision;
    questions_.push_back(wire::encode(request));
    changed_.notify_all();
  }
  void resume_receiving() {
    receiving = true;
    changed_.notify_all();
  }

  bool receiving = false;
  bool closed = false;
  std::vector<follow::FollowAnswer> answers;

 private:
  runtime::Signal changed_;
  std::deque<std::string> questions_;
};

class FirstConfigurationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FirstConfigurationsTest);
  CPPUNIT_TEST(limits_first_configurations_in_flight);
  CPPUNIT_TEST(renews_leases_while_first_configurations_are_sent);
  CPPUNIT_TEST(closes_connections_that_do_not_receive);
  CPPUNIT_TEST_SUITE_END();

 public:
  static constexpr std::size_t kFollowers = 5 * kInFlightLimit;

  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    auto& runtime = world_->start_bare({"server", "10.0.1.1", ZoneName("zone-1")});
    configuration_ = std::make_unique<LargeConfig>(runtime);
    directory_ = std::make_unique<ClusterStateDirectory>(runtime);
    server_ = std::make_unique<FollowServer>(runtime, seconds(2), barrier_, *configuration_, *directory_);
    server_->start();
    for (std::size_t number = 0; number < kFollowers; ++number) {
      followers_.push_back(std::make_shared<SlowConnection>(runtime));
      wire::Hello hello;
      hello.node = NodeName("proxy-" + std::to_string(number));
      runtime.spawn("serve", server_->serve(followers_.back(), hello));
    }
  }
  void tearDown() override {
    for (const auto& follower : followers_) follower->close();
    world_->run_for(seconds(3));
    CPPUNIT_ASSERT(world_->faults().empty());
    world_.reset();
  }

  void limits_first_configurations_in_flight() {
    request_all();
    CPPUNIT_ASSERT_EQUAL(kInFlightLimit, count_sent());
    std::size_t refused = 0;
    for (const auto& follower : followers_) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, follower->answers.size());
      const auto& refusal = follower->answers.front().refusal;
      if (!refusal) continue;
      CPPUNIT_ASSERT(refusal->code == ReasonCode::kOverloaded);
      ++refused;
    }
    CPPUNIT_ASSERT_EQUAL(kFollowers - kInFlightLimit, refused);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{refused}, server_->statistics().overload_refusals);
    // Completing one send makes room for one more configuration.
    followers_.front()->resume_receiving();
    world_->run_for(milliseconds(50));
    request_all();
    CPPUNIT_ASSERT_EQUAL(kInFlightLimit + 1, count_sent());
  }

  void renews_leases_while_first_configurations_are_sent() {
    request_all();
    auto& serving = *followers_.back();
    CPPUNIT_ASSERT(serving.answers.front().refusal.has_value());
    serving.send_request(2, kRevision);
    world_->run_for(milliseconds(50));
    CPPUNIT_ASSERT(!serving.answers.back().refusal);
    CPPUNIT_ASSERT(serving.answers.back().lease == seconds(2));
  }

  void closes_connections_that_do_not_receive() {
    request_all();
    world_->run_for(kLargeUpdateTimeout + milliseconds(50));
    std::size_t closed = 0;
    for (const auto& follower : followers_) closed += follower->closed ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(kInFlightLimit, closed);
    request_all();
    CPPUNIT_ASSERT_EQUAL(2 * kInFlightLimit, count_sent());
  }

 private:
  void request_all() {
    for (const auto& follower : followers_) {
      const auto received = std::count_if(follower->answers.begin(), follower->answers.end(),
                                          [](const auto& answer) { return !answer.update.empty(); });
      if (received == 0) follower->send_request(1, 0);
    }
    world_->run_for(milliseconds(50));
  }
  [[nodiscard]] std::size_t count_sent() const {
    std::size_t sent = 0;
    for (const auto& follower : followers_) {
      for (const auto& answer : follower->answers) sent += answer.update.empty() ? 0 : 1;
    }
    return sent;
  }

  std::unique_ptr<simulation::World> world_;
  OpenBarrier barrier_;
  std::unique_ptr<LargeConfig> configuration_;
  std::unique_ptr<ClusterStateDirectory> directory_;
  std::unique_ptr<FollowServer> server_;
  std::vector<std::shared_ptr<SlowConnection>> followers_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FirstConfigurationsTest);

}  // namespace
}  // namespace cairnhollow::declared::control
