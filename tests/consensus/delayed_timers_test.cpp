// Servers with delayed event loops: each excuses another's silence once, then acts on it as usual.
#include <cppunit/extensions/HelperMacros.h>

#include "tests/consensus/cluster.h"

namespace cairnhollow::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longer than a heartbeat interval.
constexpr Duration kTimerDelay = milliseconds(60);

class DelayedTimer : public runtime::Timer {
 public:
  explicit DelayedTimer(std::unique_ptr<runtime::Timer> timer) : timer_(std::move(timer)) {}
  Awaitable<bool> wait_until(TimePoint deadline) override {
    const bool passed =
        co_await timer_->wait_until(std::min(deadline, TimePoint::max() - kTimerDelay) + kTimerDelay);
    co_return passed;
  }
  void cancel() override { timer_->cancel(); }

 private:
  std::unique_ptr<runtime::Timer> timer_;
};

/// Fires all timers late, like a repeatedly blocked event loop.
class DelayedRuntime : public ObservedRuntime {
 public:
  explicit DelayedRuntime(runtime::Runtime& runtime) : ObservedRuntime(runtime, [](std::string_view) {}) {}
  std::unique_ptr<runtime::Timer> make_timer() override {
    return std::make_unique<DelayedTimer>(ObservedRuntime::make_timer());
  }
};

class DelayedRole : public runtime::Role {
 public:
  DelayedRole(runtime::Runtime& runtime, const RaftSettings& settings, AppliedRecord& record,
              RunChecks& checks)
      : runtime_(runtime), role_(runtime_, settings, record, checks) {}
  Awaitable<bool> start(Reason& reason) override { return role_.start(reason); }
  Awaitable<void> drain() override { return role_.drain(); }
  RaftNode& node() { return role_.node(); }

 private:
  DelayedRuntime runtime_;
  ClusterRole role_;
};

class DelayedTimersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DelayedTimersTest);
  CPPUNIT_TEST(a_leader_is_elected_and_one_without_a_quorum_steps_down);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    for (const char* number : {"1", "2", "3"}) {
      Member member;
      member.node = NodeName(std::string("node-") + number);
      member.endpoint = Endpoint{std::string("10.0.1.") + number, 7000};
      member.zone = ZoneName("zone-1");
      members_.push_back(member);
    }
    for (const auto& member : members_) {
      RaftSettings settings;
      settings.node = member.node;
      settings.endpoint = member.endpoint;
      settings.zone = member.zone;
      settings.initial_members = members_;
      world_->start({member.node.value, member.endpoint.address, member.zone},
                    [this, settings](runtime::Runtime& runtime) {
                      return std::make_unique<DelayedRole>(runtime, settings, record_, checks_);
                    });
    }
  }
  void tearDown() override { world_.reset(); }

  void a_leader_is_elected_and_one_without_a_quorum_steps_down() {
    world_->run_for(seconds(10));
    std::string leader;
    for (const auto& member : members_) {
      if (status(member.node.value).state == ServerState::kLeader) leader = member.node.value;
    }
    CPPUNIT_ASSERT(!leader.empty());
    for (const auto& member : members_) {
      if (member.node.value != leader) world_->kill(member.node.value);
    }
    world_->run_for(seconds(2));
    CPPUNIT_ASSERT(status(leader).state != ServerState::kLeader);
  }

 private:
  ConsensusStatus status(const std::string& name) {
    return dynamic_cast<DelayedRole&>(world_->role(name)).node().status();
  }

  AppliedRecord record_;
  RunChecks checks_;
  std::vector<Member> members_;
  std::unique_ptr<simulation::World> world_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DelayedTimersTest);

}  // namespace
}  // namespace cairnhollow::consensus
