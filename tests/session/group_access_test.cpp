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
                                               std::optional<Refusal>& refusal, Reason& /*reason*/) override {
    if (full) refusal = Refusal::kConnectionLimit;
    co_return nullptr;
  }
  bool full = false;
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
  CPPUNIT_TEST(facts_are_neutral_of_what_is_not_known);
  CPPUNIT_TEST(facts_follow_what_is_known);
  CPPUNIT_TEST(a_full_backend_is_the_last_choice);
  CPPUNIT_TEST(a_leaving_primary_is_used_for_a_while);
  CPPUNIT_TEST(a_primary_of_a_closed_group_is_not_used);
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

  void facts_are_neutral_of_what_is_not_known() {
    const GroupFacts facts = group_->facts({&need_});
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, facts.size());
    for (const placement::BackendFacts& backend : facts) {
      CPPUNIT_ASSERT(placement::obstacle_to_read(backend, true) == placement::Obstacle::kNone);
      CPPUNIT_ASSERT(backend.region_allowed && !backend.transaction_grace_over);
      CPPUNIT_ASSERT(backend.cost > 0);
    }
    CPPUNIT_ASSERT(facts[0].is_primary && !facts[1].is_primary && !facts[2].is_primary);
    CPPUNIT_ASSERT(group_->backend_at(1)->entry.name == BackendName("replica-1"));
  }

  void facts_follow_what_is_known() {
    const std::set<BackendName> tried{BackendName("replica-1")};
    const PlacementQuestion question{&need_, &tried};
    use("replica-2").avoid_until = runtime_->now() + seconds(1);
    group_->note_replica(use("replica-2"), need_, std::nullopt);
    CPPUNIT_ASSERT(group_->facts_of(use("replica-1"), question).tried);
    const placement::BackendFacts facts = group_->facts_of(use("replica-2"), question);
    CPPUNIT_ASSERT(facts.avoided && facts.lags && !facts.tried && !facts.refused);
    CPPUNIT_ASSERT_EQUAL(std::string("replica-2"), std::string(facts.name));
    CPPUNIT_ASSERT_MESSAGE("asked of no read", !group_->facts_of(use("replica-2"), {}).lags);
  }

  void a_full_backend_is_the_last_choice() {
    dialer_.full = true;
    runtime_->spawn("dial", dial(use("replica-1").pool));
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT(group_->facts_of(use("replica-1"), {&need_}).refused);
    CPPUNIT_ASSERT(!group_->facts_of(use("replica-2"), {&need_}).refused);
    CPPUNIT_ASSERT_EQUAL(std::string("replica-2"), group_->choose_reader(need_, {})->entry.name.value);
  }

  void a_leaving_primary_is_used_for_a_while() {
    registry::BackendEntry leaving = backend("primary", 1);
    leaving.leaving = true;
    group_->put_backend(leaving);
    CPPUNIT_ASSERT(group_->primary() != nullptr);
    world_->run_for(seconds(6));
    CPPUNIT_ASSERT(group_->primary() == nullptr);
    group_->put_backend(backend("primary", 1));
    CPPUNIT_ASSERT_MESSAGE("it stays", group_->primary() != nullptr);
  }

  void a_primary_of_a_closed_group_is_not_used() {
    group_->set_term({GroupName("group"), 1, BackendName("primary"), false, 2, 1});
    CPPUNIT_ASSERT(group_->primary() == nullptr);
    CPPUNIT_ASSERT(group_->facts_of(use("primary"), {}).of_closed_term);
    need_.primary_only = true;
    CPPUNIT_ASSERT(group_->choose_reader(need_, {}) == nullptr);
    need_.primary_only = false;
    CPPUNIT_ASSERT(group_->choose_reader(need_, {})->entry.name.value != "primary");
  }

 private:
  Awaitable<void> dial(StatefulPool& pool) {
    std::optional<Refusal> refusal;
    Reason reason;
    const TimePoint soon = runtime_->now() + milliseconds(1);
    const LinkDeadlines deadlines{soon, soon};
    LinkWish wish;
    co_await pool.acquire(std::move(wish), deadlines, refusal, reason);
  }
  BackendUse& use(const std::string& name) { return *group_->backends().at(BackendName(name)); }

  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  NoDialer dialer_;
  std::unique_ptr<GroupAccess> group_;
  ReadNeed need_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupAccessTest);

}  // namespace cairnhollow::session
