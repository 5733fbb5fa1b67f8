// Reads prefer other backends to one that fails more often than they do; work at the primary stays there.
#include <cppunit/extensions/HelperMacros.h>

#include "registered/proxy/group/group_access.h"
#include "simulation/world.h"
#include "tests/registered/proxy/group/choose_reader.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;

namespace {

class NoDialer : public BackendDialer {
 public:
  Awaitable<std::shared_ptr<BackendLink>> open(BackendAddress /*address*/, TimePoint /*deadline*/,
                                               std::optional<Refusal>& /*refusal*/,
                                               Reason& /*reason*/) override {
    co_return nullptr;
  }
};

registry::BackendEntry backend(const std::string& name, std::uint16_t port) {
  registry::BackendEntry entry;
  entry.name = BackendName(name);
  entry.group = GroupName("group");
  entry.endpoint = {"10.0.0.9", port};
  entry.zone = ZoneName("a");
  entry.slots = 2;
  return entry;
}

}  // namespace

class OutlierReadsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OutlierReadsTest);
  CPPUNIT_TEST(reads_leave_a_failing_replica);
  CPPUNIT_TEST(the_only_readable_one_is_read);
  CPPUNIT_TEST(reads_return_after_a_while);
  CPPUNIT_TEST(one_of_three_at_most_is_passed_over);
  CPPUNIT_TEST(work_stays_at_a_failing_primary);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    runtime_ = &world_->start_bare({"proxy", "10.0.0.1", ZoneName("a")});
    group_ = std::make_unique<GroupAccess>(*runtime_, dialer_, GroupName("group"), ZoneName("a"),
                                           std::make_shared<EvacuatedZones>(std::chrono::seconds(5)));
    group_->put_backend(backend("primary", 1));
    group_->put_backend(backend("replica-1", 2));
    group_->put_backend(backend("replica-2", 3));
    group_->set_term({GroupName("group"), 1, BackendName("primary"), true, 1, 1});
    world_->run_for(milliseconds(100));
    need_.required = Position{1, 10};
    need_.required_since = runtime_->now();
  }
  void tearDown() override {
    group_.reset();
    world_.reset();
  }

  void reads_leave_a_failing_replica() {
    CPPUNIT_ASSERT_EQUAL(std::string("replica-1"), reader());
    succeed("primary");
    succeed("replica-2");
    fail("replica-1", 4);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("too few outcomes", std::string("replica-1"), reader());
    fail("replica-1", 6);
    CPPUNIT_ASSERT_EQUAL(std::string("replica-2"), reader());
  }

  void the_only_readable_one_is_read() {
    succeed("primary");
    succeed("replica-2");
    fail("replica-1", 10);
    CPPUNIT_ASSERT_EQUAL(
        std::string("replica-1"),
        choose_reader(*group_, need_, {BackendName("primary"), BackendName("replica-2")})->entry.name.value);
  }

  void reads_return_after_a_while() {
    succeed("primary");
    succeed("replica-2");
    fail("replica-1", 10);
    world_->run_for(balancing::kEjectionTime + milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::string("replica-1"), reader());
    fail("replica-1", 9);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("judged by new outcomes", std::string("replica-1"), reader());
    fail("replica-1", 1);
    CPPUNIT_ASSERT_EQUAL(std::string("replica-2"), reader());
  }

  void one_of_three_at_most_is_passed_over() {
    for (int outcome = 0; outcome < 60; ++outcome) group_->evaluator.record_outcome(state("primary"), false);
    fail("replica-1", 10);
    fail("replica-2", 20);
    CPPUNIT_ASSERT(!state("replica-2").ejection.is_active(runtime_->now()));
    CPPUNIT_ASSERT_EQUAL(std::string("replica-2"), reader());
  }

  void work_stays_at_a_failing_primary() {
    succeed("replica-1");
    succeed("replica-2");
    fail("primary", 10);
    CPPUNIT_ASSERT(state("primary").ejection.is_active(runtime_->now()));
    need_.primary_only = true;
    CPPUNIT_ASSERT_EQUAL(std::string("primary"), reader());
    CPPUNIT_ASSERT(group_->evaluator.primary() != nullptr);
  }

 private:
  BackendState& state(const std::string& name) { return *group_->backends.all().at(BackendName(name)); }
  std::string reader() { return choose_reader(*group_, need_, {})->entry.name.value; }
  void succeed(const std::string& name) {
    for (int outcome = 0; outcome < 20; ++outcome) group_->evaluator.record_outcome(state(name), false);
  }
  void fail(const std::string& name, int outcomes) {
    for (int outcome = 0; outcome < outcomes; ++outcome) group_->evaluator.record_outcome(state(name), true);
  }

  NoDialer dialer_;
  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  std::unique_ptr<GroupAccess> group_;
  ReadNeed need_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutlierReadsTest);

}  // namespace cairnhollow::registered::proxy
