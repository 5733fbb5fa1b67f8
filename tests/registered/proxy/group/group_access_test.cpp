// Which backend of a group a read goes to, and whether another one could take it over.
#include "registered/proxy/group/group_access.h"

#include <cppunit/extensions/HelperMacros.h>

#include "registered/proxy/group/link_warming.h"
#include "simulation/world.h"
#include "tests/registered/proxy/group/choose_reader.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class NoDialer : public BackendDialer {
 public:
  Awaitable<std::shared_ptr<BackendLink>> open(BackendAddress /*address*/, TimePoint /*deadline*/,
                                               std::optional<Refusal>& refusal, Reason& /*reason*/) override {
    ++dials;
    if (full) refusal = Refusal::kConnectionLimit;
    co_return nullptr;
  }
  bool full = false;
  int dials = 0;
};

/// Only closed, and asked whether it was.
class ClosableLink : public BackendLink {
 public:
  Awaitable<std::optional<Answer>> run(BackendRequest /*request*/, TimePoint /*deadline*/,
                                       runtime::SendState& /*sent*/, Reason& /*reason*/) override {
    co_return std::nullopt;
  }
  std::optional<BackendStatus> read_status(const Answer& /*answer*/, Reason& /*reason*/) override {
    return std::nullopt;
  }
  void close() override { open_ = false; }
  [[nodiscard]] bool is_open() const override { return open_; }
  [[nodiscard]] std::string peer() const override { return "peer"; }

 private:
  bool open_ = true;
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
  CPPUNIT_TEST(nothing_new_goes_to_replicas_of_an_evacuated_zone);
  CPPUNIT_TEST(a_primary_of_an_evacuated_zone_is_used_for_half_of_the_bound);
  CPPUNIT_TEST(a_zone_that_is_given_back_is_used_again);
  CPPUNIT_TEST(no_link_is_opened_ahead_to_an_evacuated_zone);
  CPPUNIT_TEST(facts_are_neutral_of_what_is_not_known);
  CPPUNIT_TEST(facts_follow_what_is_known);
  CPPUNIT_TEST(a_full_backend_is_the_last_choice);
  CPPUNIT_TEST(a_leaving_primary_is_used_for_a_while);
  CPPUNIT_TEST(a_primary_of_a_closed_group_is_not_used);
  CPPUNIT_TEST(another_incarnation_is_another_backend);
  CPPUNIT_TEST(another_incarnation_of_the_primary_is_not_used);
  CPPUNIT_TEST(work_at_a_former_incarnation_of_the_primary_is_given_up);
  CPPUNIT_TEST(a_primary_that_tells_its_start_is_asked_for_what_it_showed);
  CPPUNIT_TEST(a_member_that_shows_less_of_the_term_has_started_again);
  CPPUNIT_TEST(no_link_is_opened_to_a_backend_that_was_removed);
  CPPUNIT_TEST(most_links_are_to_the_own_zones_backend);
  CPPUNIT_TEST(reads_go_to_zones_of_backends_that_stay);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    runtime_ = &world_->start_bare({"proxy", "10.0.0.1", ZoneName("a")});
    group_ = std::make_unique<GroupAccess>(*runtime_, dialer_, GroupName("group"), ZoneName("a"), evacuated_);
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
    CPPUNIT_ASSERT(choose_reader(*group_, need_, {})->entry.name.value != "primary");
    CPPUNIT_ASSERT(group_->standing.has_other_reader(need_, use("replica-1")));
    CPPUNIT_ASSERT(group_->standing.has_other_reader(need_, use("primary")));
  }

  void nothing_new_goes_to_replicas_of_an_evacuated_zone() {
    // The replica in the proxy's own zone would be the best.
    for (const char* name : {"primary", "replica-2"}) {
      registry::BackendEntry outside = backend(name, name == std::string("primary") ? 1 : 3);
      outside.zone = ZoneName("b");
      group_->put_backend(outside);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("replica-1"), choose_reader(*group_, need_, {})->entry.name.value);
    evacuated_->begin(ZoneName("a"), runtime_->now());
    CPPUNIT_ASSERT_EQUAL(std::string("replica-2"), choose_reader(*group_, need_, {})->entry.name.value);
    CPPUNIT_ASSERT_EQUAL(std::string("primary"),
                         choose_reader(*group_, need_, {BackendName("replica-2")})->entry.name.value);
    CPPUNIT_ASSERT(group_->standing.primary() != nullptr);
  }

  void a_primary_of_an_evacuated_zone_is_used_for_half_of_the_bound() {
    evacuated_->begin(ZoneName("a"), runtime_->now());
    world_->run_for(milliseconds(2400));
    CPPUNIT_ASSERT(group_->standing.primary() != nullptr);
    CPPUNIT_ASSERT(!is_primary_off_limits());
    world_->run_for(milliseconds(100));
    CPPUNIT_ASSERT(group_->standing.primary() == nullptr);
    CPPUNIT_ASSERT(is_primary_off_limits());
    ReadNeed at_primary;
    at_primary.primary_only = true;
    CPPUNIT_ASSERT(choose_reader(*group_, at_primary, {}) == nullptr);
    CPPUNIT_ASSERT(choose_reader(*group_, need_, {}) == nullptr);
    group_->set_term({GroupName("group"), 2, BackendName("elsewhere"), true, 2, 2});
    CPPUNIT_ASSERT_MESSAGE("another one leads", !is_primary_off_limits());
  }

  void a_zone_that_is_given_back_is_used_again() {
    evacuated_->begin(ZoneName("a"), runtime_->now());
    world_->run_for(seconds(3));
    evacuated_->end(ZoneName("a"));
    CPPUNIT_ASSERT(group_->standing.primary() != nullptr);
    CPPUNIT_ASSERT(choose_reader(*group_, need_, {})->entry.name.value != "primary");
    evacuated_->begin(ZoneName("a"), runtime_->now());
    CPPUNIT_ASSERT_MESSAGE("the time counts anew", group_->standing.primary() != nullptr);
    world_->run_for(seconds(2));
    CPPUNIT_ASSERT(!evacuated_->begin(ZoneName("a"), runtime_->now()));
    world_->run_for(seconds(1));
    CPPUNIT_ASSERT_MESSAGE("news that are none do not lengthen it", group_->standing.primary() == nullptr);
  }

  void no_link_is_opened_to_a_backend_that_was_removed() {
    const auto kept = group_->backends.all().at(BackendName("replica-1"));
    group_->remove_backend(BackendName("replica-1"));
    runtime_->spawn("acquire", acquire(kept));
    world_->run_for(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(0, dialer_.dials);
  }

  void no_link_is_opened_ahead_to_an_evacuated_zone() {
    CPPUNIT_ASSERT(warm_one(*runtime_, *group_));
    world_->run_for(seconds(1));
    evacuated_->begin(ZoneName("a"), runtime_->now());
    world_->run_for(seconds(3));
    CPPUNIT_ASSERT(!warm_one(*runtime_, *group_));
  }

  void a_member_that_joins_ends_the_lease_of_the_others() {
    const std::uint64_t asked = group_->leadership.membership();
    const TimePoint until = runtime_->now() + milliseconds(500);
    group_->leadership.extend_member_lease(1, asked, until);
    CPPUNIT_ASSERT(group_->leadership.has_member_lease());
    group_->put_backend(backend("replica-3", 4));
    CPPUNIT_ASSERT(!group_->leadership.has_member_lease());
    group_->leadership.extend_member_lease(1, asked, until);
    CPPUNIT_ASSERT_MESSAGE("those asked were not all", !group_->leadership.has_member_lease());
    group_->leadership.extend_member_lease(1, group_->leadership.membership(), until);
    CPPUNIT_ASSERT(group_->leadership.has_member_lease());
    registry::BackendEntry leaves = backend("replica-3", 4);
    leaves.leaving = true;
    group_->put_backend(leaves);
    CPPUNIT_ASSERT_MESSAGE("nobody joined", group_->leadership.has_member_lease());
  }

  void another_incarnation_is_another_backend() {
    group_->put_backend(life("replica-1", 2, 1000));
    group_->record_replica(use("replica-1"), need_, std::nullopt);
    const auto former = group_->backends.all().at(BackendName("replica-1"));
    CPPUNIT_ASSERT(former->lag.at(runtime_->now()) > Duration(0));
    const std::uint64_t asked = group_->leadership.membership();
    const TimePoint until = runtime_->now() + milliseconds(500);
    group_->leadership.extend_member_lease(1, asked, until);
    group_->put_backend(life("replica-1", 2, 1000));
    CPPUNIT_ASSERT_MESSAGE("the same life", group_->leadership.has_member_lease());
    group_->put_backend(life("replica-1", 2, 2000));
    CPPUNIT_ASSERT(!group_->leadership.has_member_lease());
    group_->leadership.extend_member_lease(1, asked, until);
    CPPUNIT_ASSERT_MESSAGE("the former life was asked", !group_->leadership.has_member_lease());
    CPPUNIT_ASSERT(group_->backends.all().at(BackendName("replica-1")) != former);
    CPPUNIT_ASSERT(use("replica-1").lag.at(runtime_->now()) == Duration(0));
    Reason reason;
    CPPUNIT_ASSERT(!acquire(former->pool, reason));
    CPPUNIT_ASSERT(reason.code == ReasonCode::kUnreachable);
  }

  void another_incarnation_of_the_primary_is_not_used() {
    group_->put_backend(life("primary", 1, 1000));
    registry::GroupTerm term{GroupName("group"), 1, BackendName("primary"), true, 3, 1, 1000};
    group_->set_term(term);
    CPPUNIT_ASSERT(group_->standing.primary());
    group_->put_backend(life("primary", 1, 2000));
    CPPUNIT_ASSERT(!group_->standing.primary());
    CPPUNIT_ASSERT(group_->backends.is_primary_restarted());
    const auto reader = choose_reader(*group_, need_, {BackendName("replica-1"), BackendName("replica-2")});
    CPPUNIT_ASSERT_MESSAGE("nor for reads", !reader);
    term.epoch = 5;
    term.primary_start_time_ms = 2000;
    group_->set_term(term);
    CPPUNIT_ASSERT_MESSAGE("once it leads itself", group_->standing.primary());
  }

  void work_at_a_former_incarnation_of_the_primary_is_given_up() {
    group_->put_backend(life("primary", 1, 1000));
    group_->positions.record(runtime_->now(), {1, 12});
    const auto link = std::make_shared<ClosableLink>();
    group_->primary_health.begin_work({link, runtime_->now(), true});
    group_->put_backend(life("replica-1", 2, 2000));
    CPPUNIT_ASSERT_MESSAGE("not the primary's", link->is_open());
    group_->put_backend(life("primary", 1, 2000));
    CPPUNIT_ASSERT(!link->is_open());
    CPPUNIT_ASSERT(!group_->required_of(use("primary"), ReadNeed{true, std::nullopt, {}}));
  }

  void a_primary_that_tells_its_start_is_asked_for_what_it_showed() {
    const ReadNeed at_primary{true, std::nullopt, {}};
    group_->positions.record(runtime_->now(), {1, 12});
    CPPUNIT_ASSERT_MESSAGE("it tells none", !group_->required_of(use("primary"), at_primary));
    group_->put_backend(life("primary", 1, 1000));
    CPPUNIT_ASSERT_MESSAGE("nothing shown by this life", !group_->required_of(use("primary"), at_primary));
    group_->positions.record(runtime_->now(), {1, 13});
    CPPUNIT_ASSERT(group_->required_of(use("primary"), at_primary) == Position({1, 13}));
    group_->positions.record(runtime_->now(), {1, 14});
    CPPUNIT_ASSERT_MESSAGE("however soon after",
                           group_->required_of(use("primary"), at_primary) == Position({1, 14}));
    CPPUNIT_ASSERT(group_->required_of(use("replica-1"), need_) == need_.required);
  }

  void a_member_that_shows_less_of_the_term_has_started_again() {
    BackendUse& member = use("replica-1");
    CPPUNIT_ASSERT_MESSAGE("entries of an earlier term", member.shown_log.record(4, {3, 40}));
    CPPUNIT_ASSERT_MESSAGE("rolled back", member.shown_log.record(4, {3, 38}));
    CPPUNIT_ASSERT(member.shown_log.record(4, {4, 39}));
    CPPUNIT_ASSERT(member.shown_log.record(4, {4, 39}));
    CPPUNIT_ASSERT(!member.shown_log.record(4, {4, 38}));
    CPPUNIT_ASSERT(!member.shown_log.record(4, {1, 0}));
    CPPUNIT_ASSERT_MESSAGE("another term", member.shown_log.record(5, {4, 38}));
  }

  void nobody_else_reads_while_the_replicas_lag() {
    group_->record_replica(use("replica-1"), need_, std::nullopt);
    group_->record_replica(use("replica-2"), need_, std::nullopt);
    CPPUNIT_ASSERT_EQUAL(std::string("primary"), choose_reader(*group_, need_, {})->entry.name.value);
    CPPUNIT_ASSERT(!group_->standing.has_other_reader(need_, use("primary")));
    CPPUNIT_ASSERT_MESSAGE("a replica's read may go to the primary",
                           group_->standing.has_other_reader(need_, use("replica-1")));
    world_->run_for(seconds(4));
    CPPUNIT_ASSERT_MESSAGE("what is not heard of is tried again",
                           group_->standing.has_other_reader(need_, use("primary")));
  }

  void a_backend_that_is_avoided_or_leaves_is_no_other_reader() {
    use("replica-1").avoid_until = runtime_->now() + seconds(1);
    registry::BackendEntry leaving = backend("replica-2", 3);
    leaving.leaving = true;
    group_->put_backend(leaving);
    CPPUNIT_ASSERT(!group_->standing.has_other_reader(need_, use("primary")));
    CPPUNIT_ASSERT(group_->standing.has_other_reader(need_, use("replica-1")));
  }

  void facts_are_neutral_of_what_is_not_known() {
    const GroupFacts facts = group_->standing.facts({&need_});
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, facts.size());
    for (const placement::BackendFacts& backend : facts) {
      CPPUNIT_ASSERT(placement::rejection_of_read(backend, true) == placement::RejectionReason::kNone);
      CPPUNIT_ASSERT(backend.region_allowed && !backend.transaction_grace_over);
      CPPUNIT_ASSERT(backend.cost > 0);
    }
    CPPUNIT_ASSERT(facts[0].is_primary && !facts[1].is_primary && !facts[2].is_primary);
    CPPUNIT_ASSERT(group_->backends.at(1)->entry.name == BackendName("replica-1"));
  }

  void facts_follow_what_is_known() {
    const std::set<BackendName> tried{BackendName("replica-1")};
    const PlacementRequest question{&need_, &tried};
    use("replica-2").avoid_until = runtime_->now() + seconds(1);
    group_->record_replica(use("replica-2"), need_, std::nullopt);
    CPPUNIT_ASSERT(group_->standing.facts_of(use("replica-1"), question).tried);
    const placement::BackendFacts facts = group_->standing.facts_of(use("replica-2"), question);
    CPPUNIT_ASSERT(facts.avoided && facts.lags && !facts.tried && !facts.refused);
    CPPUNIT_ASSERT_EQUAL(std::string("replica-2"), std::string(facts.name));
    CPPUNIT_ASSERT_MESSAGE("asked of no read", !group_->standing.facts_of(use("replica-2"), {}).lags);
  }

  void a_full_backend_is_the_last_choice() {
    dialer_.full = true;
    runtime_->spawn("dial", dial(use("replica-1").pool));
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT(group_->standing.facts_of(use("replica-1"), {&need_}).refused);
    CPPUNIT_ASSERT(!group_->standing.facts_of(use("replica-2"), {&need_}).refused);
    CPPUNIT_ASSERT_EQUAL(std::string("replica-2"), choose_reader(*group_, need_, {})->entry.name.value);
  }

  void a_leaving_primary_is_used_for_a_while() {
    registry::BackendEntry leaving = backend("primary", 1);
    leaving.leaving = true;
    group_->put_backend(leaving);
    CPPUNIT_ASSERT(group_->standing.primary() != nullptr);
    world_->run_for(seconds(6));
    CPPUNIT_ASSERT(group_->standing.primary() == nullptr);
    group_->put_backend(backend("primary", 1));
    CPPUNIT_ASSERT_MESSAGE("it stays", group_->standing.primary() != nullptr);
  }

  void a_primary_of_a_closed_group_is_not_used() {
    group_->set_term({GroupName("group"), 1, BackendName("primary"), false, 2, 1});
    CPPUNIT_ASSERT(group_->standing.primary() == nullptr);
    CPPUNIT_ASSERT(group_->standing.facts_of(use("primary"), {}).of_closed_term);
    need_.primary_only = true;
    CPPUNIT_ASSERT(choose_reader(*group_, need_, {}) == nullptr);
    need_.primary_only = false;
    CPPUNIT_ASSERT(choose_reader(*group_, need_, {})->entry.name.value != "primary");
  }

  void most_links_are_to_the_own_zones_backend() {
    registry::GroupRule rule;
    rule.max_connections = 56;
    group_->rule = rule;
    registry::BackendEntry elsewhere = backend("replica-3", 4);
    elsewhere.zone = ZoneName("b");
    group_->put_backend(elsewhere);
    group_->backends.share_connections({15, {{ZoneName("a"), 4}, {ZoneName("b"), 4}, {ZoneName("c"), 7}}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, use("replica-1").pool.limit());
    CPPUNIT_ASSERT_EQUAL(tenancy::kFarLinks, use("replica-3").pool.limit());
    registry::BackendEntry late = backend("replica-4", 5);
    group_->put_backend(late);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("also one that joins", std::uint64_t{10}, use("replica-4").pool.limit());
    group_->backends.share_connections(std::uint64_t{15});
    CPPUNIT_ASSERT_EQUAL_MESSAGE("without tenants", std::uint64_t{3}, use("replica-1").pool.limit());
  }

  void reads_go_to_zones_of_backends_that_stay() {
    registry::BackendEntry elsewhere = backend("replica-3", 4);
    elsewhere.zone = ZoneName("b");
    group_->put_backend(elsewhere);
    CPPUNIT_ASSERT(group_->backends.reading_zones() == (std::vector<ZoneName>{ZoneName("a"), ZoneName("b")}));
    elsewhere.leaving = true;
    group_->put_backend(elsewhere);
    CPPUNIT_ASSERT(group_->backends.reading_zones() == std::vector<ZoneName>{ZoneName("a")});
  }

 private:
  Awaitable<void> acquire(std::shared_ptr<BackendUse> backend) {
    std::optional<Refusal> refusal;
    Reason reason;
    LinkRequest wish;
    const TimePoint deadline = runtime_->now() + seconds(1);
    const LinkDeadlines deadlines{deadline, deadline};
    co_await backend->pool.acquire(std::move(wish), deadlines, refusal, reason);
  }

  static registry::BackendEntry life(const std::string& name, std::uint16_t port,
                                     std::uint64_t start_time_ms) {
    registry::BackendEntry entry = backend(name, port);
    entry.start_time_ms = start_time_ms;
    return entry;
  }
  std::shared_ptr<StatefulLink> acquire(StatefulPool& pool, Reason& reason) {
    std::shared_ptr<StatefulLink> link;
    std::optional<Refusal> refusal;
    bool done = false;
    const TimePoint deadline = runtime_->now() + milliseconds(100);
    const LinkDeadlines deadlines{deadline, deadline};
    const auto task = [&]() -> Awaitable<void> {
      LinkRequest wish;
      link = co_await pool.acquire(std::move(wish), deadlines, refusal, reason);
      done = true;
    };
    runtime_->spawn("acquire", task());
    world_->run_until([&] { return done; }, seconds(1));
    return link;
  }

  Awaitable<void> dial(StatefulPool& pool) {
    std::optional<Refusal> refusal;
    Reason reason;
    const TimePoint soon = runtime_->now() + milliseconds(1);
    const LinkDeadlines deadlines{soon, soon};
    LinkRequest wish;
    co_await pool.acquire(std::move(wish), deadlines, refusal, reason);
  }
  [[nodiscard]] bool is_primary_off_limits() const {
    const auto leader = group_->backends.open_primary();
    return leader && leader->is_off_limits(runtime_->now());
  }
  BackendUse& use(const std::string& name) { return *group_->backends.all().at(BackendName(name)); }

  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  NoDialer dialer_;
  std::shared_ptr<EvacuatedZones> evacuated_ = std::make_shared<EvacuatedZones>(seconds(5));
  std::unique_ptr<GroupAccess> group_;
  ReadNeed need_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupAccessTest);

}  // namespace cairnhollow::registered::proxy
