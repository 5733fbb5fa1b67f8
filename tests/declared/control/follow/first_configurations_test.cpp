// Many first configurations at once: how many are on their way together, what the others are told, and that
// those who serve are renewed meanwhile.
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
/// How many configurations of this size may be on their way at once.
constexpr std::size_t kFit = kMaxLargeUpdateBytesInFlight / (kObjects * (kLabelBytes + 100));
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

/// Takes frames only when it is told to.
class SlowConnection : public runtime::FrameConnection {
 public:
  explicit SlowConnection(runtime::Runtime& runtime) : changed_(runtime) {}

  Awaitable<bool> send(std::string frame, Reason& reason) override {
    auto answer = wire::decode<follow::FollowAnswer>(frame, reason);
    answers.push_back(*answer);
    while (!closed && !takes && !answer->update.empty()) co_await changed_.wait();
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

  void ask(std::uint64_t nonce, std::uint64_t revision) {
    follow::FollowRequest request;
    request.nonce = nonce;
    request.revision = revision;
    questions_.push_back(wire::encode(request));
    changed_.notify_all();
  }
  void take_all() {
    takes = true;
    changed_.notify_all();
  }

  bool takes = false;
  bool closed = false;
  std::vector<follow::FollowAnswer> answers;

 private:
  runtime::Signal changed_;
  std::deque<std::string> questions_;
};

class FirstConfigurationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FirstConfigurationsTest);
  CPPUNIT_TEST(test_configurations_on_their_way_are_bounded);
  CPPUNIT_TEST(test_who_serves_is_renewed_meanwhile);
  CPPUNIT_TEST(test_follower_that_takes_nothing_is_dropped);
  CPPUNIT_TEST_SUITE_END();

 public:
  static constexpr std::size_t kFollowers = 5 * kFit;

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

  void test_configurations_on_their_way_are_bounded() {
    ask_all();
    CPPUNIT_ASSERT_EQUAL(kFit, count_sent());
    std::size_t refused = 0;
    for (const auto& follower : followers_) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, follower->answers.size());
      const auto& refusal = follower->answers.front().refusal;
      if (!refusal) continue;
      CPPUNIT_ASSERT(refusal->code == ReasonCode::kOverloaded);
      ++refused;
    }
    CPPUNIT_ASSERT_EQUAL(kFollowers - kFit, refused);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{refused}, server_->statistics().told_to_come_back);
    // As soon as one has taken its own, there is room for one more.
    followers_.front()->take_all();
    world_->run_for(milliseconds(50));
    ask_all();
    CPPUNIT_ASSERT_EQUAL(kFit + 1, count_sent());
  }

  void test_who_serves_is_renewed_meanwhile() {
    ask_all();
    auto& serving = *followers_.back();
    CPPUNIT_ASSERT(serving.answers.front().refusal.has_value());
    serving.ask(2, kRevision);
    world_->run_for(milliseconds(50));
    CPPUNIT_ASSERT(!serving.answers.back().refusal);
    CPPUNIT_ASSERT(serving.answers.back().lease == seconds(2));
  }

  void test_follower_that_takes_nothing_is_dropped() {
    ask_all();
    world_->run_for(kLargeUpdateTimeout + milliseconds(50));
    std::size_t closed = 0;
    for (const auto& follower : followers_) closed += follower->closed ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(kFit, closed);
    ask_all();
    CPPUNIT_ASSERT_EQUAL(2 * kFit, count_sent());
  }

 private:
  void ask_all() {
    for (const auto& follower : followers_) {
      const auto asked = std::count_if(follower->answers.begin(), follower->answers.end(),
                                       [](const auto& answer) { return !answer.update.empty(); });
      if (asked == 0) follower->ask(1, 0);
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
