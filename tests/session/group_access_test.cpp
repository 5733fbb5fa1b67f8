// Which backend of a group a read goes to, and whether another one could take it over.
#include "session/group_access.h"

#include <cppunit/extensions/HelperMacros.h>

#include "simulation/world.h"

namespace cairnhollow::session {

using std::chrono::milliseconds;
using std::chrono::seconds;

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

class GroupAccessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupAccessTest);
  CPPUNIT_TEST(reads_go_to_replicas);
  CPPUNIT_TEST(nobody_else_reads_while_the_replicas_lag);
  CPPUNIT_TEST(a_backend_that_is_avoided_or_leaves_is_no_other_reader);
  CPPUNIT_TEST(a_member_that_joins_ends_the_lease_of_the_others);
  CPPUNIT_TEST(most_links_are_to_the_own_zones_backend);
  CPPUNIT_TEST(reads_go_to_zones_of_backends_that_stay);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    runtime_ = &world_->start_bare({"proxy", "10.0.0.1", ZoneName("a")});
    group_ = std::make_unique<GroupAccess>(*runtime_, dialer_, GroupName("group"), ZoneName("a"));
    group_->put_backend(backend("primary", 1));
    group_->put_backend(backend("replica-1", 2));
    group_->put_backend(backend("replica-2", 3));
    group_->set_term({GroupName("group"), 1, BackendName("primary"), true, 1, 1});
    need_.required = Position{1, 10};
    need_.required_since = runtime_->now();
    world_->run_for(milliseconds(100));
  }
  void tearDown() override {
    group_.reset();
    world_.reset();
  }

  void reads_go_to_replicas() {
    CPPUNIT_ASSERT(group_->choose_reader(need_, {})->entry.name.value != "primary");
    CPPUNIT_ASSERT(group_->has_other_reader(need_, use("replica-1")));
    CPPUNIT_ASSERT(group_->has_other_reader(need_, use("primary")));
  }

  void a_member_that_joins_ends_the_lease_of_the_others() {
    const std::uint64_t asked = group_->membership();
    const TimePoint until = runtime_->now() + milliseconds(500);
    group_->extend_member_lease(1, asked, until);
    CPPUNIT_ASSERT(group_->has_member_lease());
    group_->put_backend(backend("replica-3", 4));
    CPPUNIT_ASSERT(!group_->has_member_lease());
    group_->extend_member_lease(1, asked, until);
    CPPUNIT_ASSERT_MESSAGE("those asked were not all", !group_->has_member_lease());
    group_->extend_member_lease(1, group_->membership(), until);
    CPPUNIT_ASSERT(group_->has_member_lease());
    registry::BackendEntry leaves = backend("replica-3", 4);
    leaves.leaving = true;
    group_->put_backend(leaves);
    CPPUNIT_ASSERT_MESSAGE("nobody joined", group_->has_member_lease());
  }

  void nobody_else_reads_while_the_replicas_lag() {
    group_->note_replica(use("replica-1"), need_, std::nullopt);
    group_->note_replica(use("replica-2"), need_, std::nullopt);
    CPPUNIT_ASSERT_EQUAL(std::string("primary"), group_->choose_reader(need_, {})->entry.name.value);
    CPPUNIT_ASSERT(!group_->has_other_reader(need_, use("primary")));
    CPPUNIT_ASSERT_MESSAGE("a replica's read may go to the primary",
                           group_->has_other_reader(need_, use("replica-1")));
    world_->run_for(seconds(4));
    CPPUNIT_ASSERT_MESSAGE("what is not heard of is tried again",
                           group_->has_other_reader(need_, use("primary")));
  }

  void a_backend_that_is_avoided_or_leaves_is_no_other_reader() {
    use("replica-1").avoid_until = runtime_->now() + seconds(1);
    registry::BackendEntry leaving = backend("replica-2", 3);
    leaving.leaving = true;
    group_->put_backend(leaving);
    CPPUNIT_ASSERT(!group_->has_other_reader(need_, use("primary")));
    CPPUNIT_ASSERT(group_->has_other_reader(need_, use("replica-1")));
  }

  void most_links_are_to_the_own_zones_backend() {
    registry::GroupRule rule;
    rule.max_connections = 56;
    group_->set_rule(rule);
    registry::BackendEntry elsewhere = backend("replica-3", 4);
    elsewhere.zone = ZoneName("b");
    group_->put_backend(elsewhere);
    group_->share_connections({15, {{ZoneName("a"), 4}, {ZoneName("b"), 4}, {ZoneName("c"), 7}}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, use("replica-1").pool.limit());
    CPPUNIT_ASSERT_EQUAL(tenancy::kFarLinks, use("replica-3").pool.limit());
    registry::BackendEntry late = backend("replica-4", 5);
    group_->put_backend(late);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("also one that joins", std::uint64_t{10}, use("replica-4").pool.limit());
    group_->share_connections(std::uint64_t{15});
    CPPUNIT_ASSERT_EQUAL_MESSAGE("without tenants", std::uint64_t{3}, use("replica-1").pool.limit());
  }

  void reads_go_to_zones_of_backends_that_stay() {
    registry::BackendEntry elsewhere = backend("replica-3", 4);
    elsewhere.zone = ZoneName("b");
    group_->put_backend(elsewhere);
    CPPUNIT_ASSERT(group_->reading_zones() == (std::vector<ZoneName>{ZoneName("a"), ZoneName("b")}));
    elsewhere.leaving = true;
    group_->put_backend(elsewhere);
    CPPUNIT_ASSERT(group_->reading_zones() == std::vector<ZoneName>{ZoneName("a")});
  }

 private:
  BackendUse& use(const std::string& name) { return *group_->backends().at(BackendName(name)); }

  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  NoDialer dialer_;
  std::unique_ptr<GroupAccess> group_;
  ReadNeed need_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupAccessTest);

}  // namespace cairnhollow::session
