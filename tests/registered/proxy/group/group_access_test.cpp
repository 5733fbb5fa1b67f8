// Which backend of a group serves a read, and whether another one could replace it.
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

/// Records only whether it was closed.
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
  CPPUNIT_TEST(prefers_replicas_for_reads);
  CPPUNIT_TEST(lagging_replicas_are_no_other_readers);
  CPPUNIT_TEST(avoided_or_leaving_backend_is_no_other_reader);
  CPPUNIT_TEST(joining_member_ends_member_lease);
  CPPUNIT_TEST(avoids_replicas_in_evacuated_zone);
  CPPUNIT_TEST(evacuated_primary_serves_for_half_of_bound);
  CPPUNIT_TEST(uses_zone_again_after_evacuation);
  CPPUNIT_TEST(opens_no_links_ahead_to_evacuated_zone);
  CPPUNIT_TEST(opens_no_links_ahead_to_distant_backends);
  CPPUNIT_TEST(facts_default_to_neutral);
  CPPUNIT_TEST(facts_reflect_observations);
  CPPUNIT_TEST(full_backend_is_last_choice);
  CPPUNIT_TEST(leaving_primary_serves_during_grace);
  CPPUNIT_TEST(closed_group_has_no_usable_primary);
  CPPUNIT_TEST(new_incarnation_gets_new_state);
  CPPUNIT_TEST(restarted_primary_is_not_used);
  CPPUNIT_TEST(primary_restart_closes_pending_links);
  CPPUNIT_TEST(primary_with_start_time_must_show_position);
  CPPUNIT_TEST(detects_shorter_log_within_term);
  CPPUNIT_TEST(opens_no_links_to_removed_backend);
  CPPUNIT_TEST(most_links_go_to_local_backend);
  CPPUNIT_TEST(most_links_go_to_backends_of_the_region);
  CPPUNIT_TEST(reading_zones_exclude_leaving_backends);
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

  void prefers_replicas_for_reads() {
    CPPUNIT_ASSERT(choose_reader(*group_, need_, {})->entry.name.value != "primary");
    CPPUNIT_ASSERT(group_->evaluator.has_other_reader(need_, state("replica-1")));
    CPPUNIT_ASSERT(group_->evaluator.has_other_reader(need_, state("primary")));
  }

  void avoids_replicas_in_evacuated_zone() {
    // Without an evacuation, the replica in the proxy's own zone is preferred.
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
    CPPUNIT_ASSERT(group_->evaluator.primary() != nullptr);
  }

  void evacuated_primary_serves_for_half_of_bound() {
    evacuated_->begin(ZoneName("a"), runtime_->now());
    world_->run_for(milliseconds(2400));
    CPPUNIT_ASSERT(group_->evaluator.primary() != nullptr);
    CPPUNIT_ASSERT(!is_primary_off_limits());
    world_->run_for(milliseconds(100));
    CPPUNIT_ASSERT(group_->evaluator.primary() == nullptr);
    CPPUNIT_ASSERT(is_primary_off_limits());
    ReadNeed at_primary;
    at_primary.primary_only = true;
    CPPUNIT_ASSERT(choose_reader(*group_, at_primary, {}) == nullptr);
    CPPUNIT_ASSERT(choose_reader(*group_, need_, {}) == nullptr);
    group_->set_term({GroupName("group"), 2, BackendName("elsewhere"), true, 2, 2});
    CPPUNIT_ASSERT_MESSAGE("another backend is the primary", !is_primary_off_limits());
  }

  void uses_zone_again_after_evacuation() {
    evacuated_->begin(ZoneName("a"), runtime_->now());
    world_->run_for(seconds(3));
    evacuated_->end(ZoneName("a"));
    CPPUNIT_ASSERT(group_->evaluator.primary() != nullptr);
    CPPUNIT_ASSERT(choose_reader(*group_, need_, {})->entry.name.value != "primary");
    evacuated_->begin(ZoneName("a"), runtime_->now());
    CPPUNIT_ASSERT_MESSAGE("the grace period starts again", group_->evaluator.primary() != nullptr);
    world_->run_for(seconds(2));
    CPPUNIT_ASSERT(!evacuated_->begin(ZoneName("a"), runtime_->now()));
    world_->run_for(seconds(1));
    CPPUNIT_ASSERT_MESSAGE("a repeated order does not extend the grace period",
                           group_->evaluator.primary() == nullptr);
  }

  void opens_no_links_to_removed_backend() {
    const auto kept = group_->backends.all().at(BackendName("replica-1"));
    group_->remove_backend(BackendName("replica-1"));
    runtime_->spawn("acquire", acquire(kept));
    world_->run_for(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(0, dialer_.dials);
  }

  void opens_no_links_ahead_to_evacuated_zone() {
    CPPUNIT_ASSERT(warm_one(*runtime_, *group_));
    world_->run_for(seconds(1));
    evacuated_->begin(ZoneName("a"), runtime_->now());
    world_->run_for(seconds(3));
    CPPUNIT_ASSERT(!warm_one(*runtime_, *group_));
  }

  void opens_no_links_ahead_to_distant_backends() {
    for (const auto& [name, backend] : group_->backends.all()) backend->opens_links_ahead = false;
    CPPUNIT_ASSERT(!warm_one(*runtime_, *group_));
    state("replica-1").opens_links_ahead = true;
    CPPUNIT_ASSERT(warm_one(*runtime_, *group_));
  }

  void joining_member_ends_member_lease() {
    const std::uint64_t asked = group_->leadership.membership();
    const TimePoint until = runtime_->now() + milliseconds(500);
    group_->leadership.extend_member_lease(1, asked, until);
    CPPUNIT_ASSERT(group_->leadership.has_member_lease());
    group_->put_backend(backend("replica-3", 4));
    CPPUNIT_ASSERT(!group_->leadership.has_member_lease());
    group_->leadership.extend_member_lease(1, asked, until);
    CPPUNIT_ASSERT_MESSAGE("the new member was not asked", !group_->leadership.has_member_lease());
    group_->leadership.extend_member_lease(1, group_->leadership.membership(), until);
    CPPUNIT_ASSERT(group_->leadership.has_member_lease());
    registry::BackendEntry leaving = backend("replica-3", 4);
    leaving.leaving = true;
    group_->put_backend(leaving);
    CPPUNIT_ASSERT_MESSAGE("no member joined", group_->leadership.has_member_lease());
  }

  void new_incarnation_gets_new_state() {
    group_->put_backend(incarnation("replica-1", 2, 1000));
    group_->record_replica_answer(state("replica-1"), need_, std::nullopt);
    const auto former = group_->backends.all().at(BackendName("replica-1"));
    CPPUNIT_ASSERT(former->lag.at(runtime_->now()) > Duration(0));
    const std::uint64_t asked = group_->leadership.membership();
    const TimePoint until = runtime_->now() + milliseconds(500);
    group_->leadership.extend_member_lease(1, asked, until);
    group_->put_backend(incarnation("replica-1", 2, 1000));
    CPPUNIT_ASSERT_MESSAGE("the same incarnation", group_->leadership.has_member_lease());
    group_->put_backend(incarnation("replica-1", 2, 2000));
    CPPUNIT_ASSERT(!group_->leadership.has_member_lease());
    group_->leadership.extend_member_lease(1, asked, until);
    CPPUNIT_ASSERT_MESSAGE("the previous incarnation was asked", !group_->leadership.has_member_lease());
    CPPUNIT_ASSERT(group_->backends.all().at(BackendName("replica-1")) != former);
    CPPUNIT_ASSERT(state("replica-1").lag.at(runtime_->now()) == Duration(0));
    Reason reason;
    CPPUNIT_ASSERT(!acquire(former->pool, reason));
    CPPUNIT_ASSERT(reason.code == ReasonCode::kUnreachable);
  }

  void restarted_primary_is_not_used() {
    group_->put_backend(incarnation("primary", 1, 1000));
    registry::GroupTerm term{GroupName("group"), 1, BackendName("primary"), true, 3, 1, 1000};
    group_->set_term(term);
    CPPUNIT_ASSERT(group_->evaluator.primary());
    group_->put_backend(incarnation("primary", 1, 2000));
    CPPUNIT_ASSERT(!group_->evaluator.primary());
    CPPUNIT_ASSERT(group_->backends.is_primary_restarted());
    const auto reader = choose_reader(*group_, need_, {BackendName("replica-1"), BackendName("replica-2")});
    CPPUNIT_ASSERT_MESSAGE("it serves no reads either", !reader);
    term.epoch = 5;
    term.primary_start_time_ms = 2000;
    group_->set_term(term);
    CPPUNIT_ASSERT_MESSAGE("the term names the new incarnation", group_->evaluator.primary());
  }

  void primary_restart_closes_pending_links() {
    group_->put_backend(incarnation("primary", 1, 1000));
    group_->positions.record(runtime_->now(), {1, 12});
    const auto link = std::make_shared<ClosableLink>();
    group_->primary_health.add_pending({link, runtime_->now(), true});
    group_->put_backend(incarnation("replica-1", 2, 2000));
    CPPUNIT_ASSERT_MESSAGE("another backend restarted", link->is_open());
    group_->put_backend(incarnation("primary", 1, 2000));
    CPPUNIT_ASSERT(!link->is_open());
    CPPUNIT_ASSERT(!group_->required_of(state("primary"), ReadNeed{true, std::nullopt, {}}));
  }

  void primary_with_start_time_must_show_position() {
    const ReadNeed at_primary{true, std::nullopt, {}};
    group_->positions.record(runtime_->now(), {1, 12});
    CPPUNIT_ASSERT_MESSAGE("the primary reports no start time",
                           !group_->required_of(state("primary"), at_primary));
    group_->put_backend(incarnation("primary", 1, 1000));
    CPPUNIT_ASSERT_MESSAGE("this incarnation has shown no position",
                           !group_->required_of(state("primary"), at_primary));
    group_->positions.record(runtime_->now(), {1, 13});
    CPPUNIT_ASSERT(group_->required_of(state("primary"), at_primary) == Position({1, 13}));
    group_->positions.record(runtime_->now(), {1, 14});
    CPPUNIT_ASSERT_MESSAGE("recorded within the spacing of the history",
                           group_->required_of(state("primary"), at_primary) == Position({1, 14}));
    CPPUNIT_ASSERT(group_->required_of(state("replica-1"), need_) == need_.required);
  }

  void detects_shorter_log_within_term() {
    BackendState& member = state("replica-1");
    CPPUNIT_ASSERT_MESSAGE("position of an earlier term", member.log_regression.record(4, {3, 40}));
    CPPUNIT_ASSERT_MESSAGE("entries of an earlier term may be rolled back",
                           member.log_regression.record(4, {3, 38}));
    CPPUNIT_ASSERT(member.log_regression.record(4, {4, 39}));
    CPPUNIT_ASSERT(member.log_regression.record(4, {4, 39}));
    CPPUNIT_ASSERT(!member.log_regression.record(4, {4, 38}));
    CPPUNIT_ASSERT(!member.log_regression.record(4, {1, 0}));
    CPPUNIT_ASSERT_MESSAGE("a new term starts over", member.log_regression.record(5, {4, 38}));
  }

  void lagging_replicas_are_no_other_readers() {
    group_->record_replica_answer(state("replica-1"), need_, std::nullopt);
    group_->record_replica_answer(state("replica-2"), need_, std::nullopt);
    CPPUNIT_ASSERT_EQUAL(std::string("primary"), choose_reader(*group_, need_, {})->entry.name.value);
    CPPUNIT_ASSERT(!group_->evaluator.has_other_reader(need_, state("primary")));
    CPPUNIT_ASSERT_MESSAGE("a replica's read may go to the primary",
                           group_->evaluator.has_other_reader(need_, state("replica-1")));
    world_->run_for(seconds(4));
    CPPUNIT_ASSERT_MESSAGE("the lag estimate decays without answers",
                           group_->evaluator.has_other_reader(need_, state("primary")));
  }

  void avoided_or_leaving_backend_is_no_other_reader() {
    state("replica-1").avoid_until = runtime_->now() + seconds(1);
    registry::BackendEntry leaving = backend("replica-2", 3);
    leaving.leaving = true;
    group_->put_backend(leaving);
    CPPUNIT_ASSERT(!group_->evaluator.has_other_reader(need_, state("primary")));
    CPPUNIT_ASSERT(group_->evaluator.has_other_reader(need_, state("replica-1")));
  }

  void facts_default_to_neutral() {
    const GroupFacts facts = group_->evaluator.facts({&need_});
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, facts.size());
    for (const placement::BackendFacts& backend : facts) {
      CPPUNIT_ASSERT(placement::rejection_of_read(backend, true) == placement::RejectionReason::kNone);
      CPPUNIT_ASSERT(backend.region_allowed && !backend.transaction_grace_expired);
      CPPUNIT_ASSERT(backend.cost > 0);
    }
    CPPUNIT_ASSERT(facts[0].is_primary && !facts[1].is_primary && !facts[2].is_primary);
    CPPUNIT_ASSERT(group_->backends.at(1)->entry.name == BackendName("replica-1"));
  }

  void facts_reflect_observations() {
    const std::set<BackendName> tried{BackendName("replica-1")};
    const PlacementRequest request{&need_, &tried};
    state("replica-2").avoid_until = runtime_->now() + seconds(1);
    group_->record_replica_answer(state("replica-2"), need_, std::nullopt);
    CPPUNIT_ASSERT(group_->evaluator.facts_of(state("replica-1"), request).tried);
    const placement::BackendFacts facts = group_->evaluator.facts_of(state("replica-2"), request);
    CPPUNIT_ASSERT(facts.avoided && facts.lags && !facts.tried && !facts.refused);
    CPPUNIT_ASSERT_EQUAL(std::string("replica-2"), std::string(facts.name));
    CPPUNIT_ASSERT_MESSAGE("lag concerns only reads",
                           !group_->evaluator.facts_of(state("replica-2"), {}).lags);
  }

  void full_backend_is_last_choice() {
    dialer_.full = true;
    runtime_->spawn("dial", dial(state("replica-1").pool));
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT(group_->evaluator.facts_of(state("replica-1"), {&need_}).refused);
    CPPUNIT_ASSERT(!group_->evaluator.facts_of(state("replica-2"), {&need_}).refused);
    CPPUNIT_ASSERT_EQUAL(std::string("replica-2"), choose_reader(*group_, need_, {})->entry.name.value);
  }

  void leaving_primary_serves_during_grace() {
    registry::BackendEntry leaving = backend("primary", 1);
    leaving.leaving = true;
    group_->put_backend(leaving);
    CPPUNIT_ASSERT(group_->evaluator.primary() != nullptr);
    world_->run_for(seconds(6));
    CPPUNIT_ASSERT(group_->evaluator.primary() == nullptr);
    group_->put_backend(backend("primary", 1));
    CPPUNIT_ASSERT_MESSAGE("it is not leaving any more", group_->evaluator.primary() != nullptr);
  }

  void closed_group_has_no_usable_primary() {
    group_->set_term({GroupName("group"), 1, BackendName("primary"), false, 2, 1});
    CPPUNIT_ASSERT(group_->evaluator.primary() == nullptr);
    CPPUNIT_ASSERT(group_->evaluator.facts_of(state("primary"), {}).of_closed_term);
    need_.primary_only = true;
    CPPUNIT_ASSERT(choose_reader(*group_, need_, {}) == nullptr);
    need_.primary_only = false;
    CPPUNIT_ASSERT(choose_reader(*group_, need_, {})->entry.name.value != "primary");
  }

  void most_links_go_to_local_backend() {
    registry::GroupRule rule;
    rule.max_connections = 56;
    group_->rule = rule;
    registry::BackendEntry remote = backend("replica-3", 4);
    remote.zone = ZoneName("b");
    group_->put_backend(remote);
    const auto serving = serving_proxies({{"a", 4}, {"b", 4}, {"c", 7}});
    group_->backends.share_connections(serving, NodeName("a-0"));
    const std::uint64_t owners = group_->backends.owners_in(ZoneName("a")).size();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, owners);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("while connections of lost processes may count", std::uint64_t{4},
                                 state("replica-1").pool.limit());
    world_->run_for(capacity::kLostConnectionsCounted);
    group_->backends.refresh_link_limits();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{13}, state("replica-1").pool.limit());
    CPPUNIT_ASSERT_MESSAGE("the sum over all proxies",
                           owners * state("replica-1").pool.limit() + (15 - owners) <= 52);
    CPPUNIT_ASSERT_EQUAL(capacity::kGuestLinks, state("replica-3").pool.limit());
    registry::BackendEntry joined_later = backend("replica-4", 5);
    group_->put_backend(joined_later);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("applies to a backend that joins later", std::uint64_t{4},
                                 state("replica-4").pool.limit());
    group_->backends.share_connections(serving, NodeName("a-3"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("not an owner", capacity::kGuestLinks, state("replica-1").pool.limit());
    CPPUNIT_ASSERT_EQUAL_MESSAGE("not an owner, of a backend it has just heard of",
                                 capacity::kReservedGuestLinks, state("replica-4").pool.limit());
    group_->backends.share_connections(std::uint64_t{15});
    CPPUNIT_ASSERT_EQUAL_MESSAGE("divided evenly without tenants", std::uint64_t{3},
                                 state("replica-1").pool.limit());
  }

  void most_links_go_to_backends_of_the_region() {
    const locality::RegionMap regions({{ZoneName("a"), RegionName("north")},
                                       {ZoneName("b"), RegionName("north")},
                                       {ZoneName("c"), RegionName("south")}});
    registry::GroupRule rule;
    rule.max_connections = 49;
    group_->rule = rule;
    registry::BackendEntry near = backend("replica-3", 4);
    near.zone = ZoneName("b");
    group_->put_backend(near);
    registry::BackendEntry remote = backend("replica-4", 5);
    remote.zone = ZoneName("c");
    group_->put_backend(remote);
    std::vector<subset::ProxyPointer> serving;
    for (const char* zone : {"a", "a", "b", "b", "c", "c", "c"})
      serving.push_back(
          std::make_shared<subset::ProxyView>(subset::ProxyView{NodeName("p"), ZoneName(zone), Endpoint{}}));
    group_->backends.share_connections({serving, regions});
    // 45 usable, 6 reserved for the other region and 4 for the other zone.
    CPPUNIT_ASSERT_EQUAL_MESSAGE("bounded", kMaxConnections, state("replica-1").pool.limit());
    CPPUNIT_ASSERT_EQUAL(balancing::kOtherZoneLinks, state("replica-3").pool.limit());
    CPPUNIT_ASSERT_EQUAL(balancing::kRemoteRegionLinks, state("replica-4").pool.limit());
    CPPUNIT_ASSERT(state("replica-4").in_other_region && !state("replica-3").in_other_region);
    CPPUNIT_ASSERT_MESSAGE("links are opened ahead to backends of the zone only",
                           state("replica-1").opens_links_ahead && !state("replica-3").opens_links_ahead);
    group_->backends.share_connections(std::uint64_t{15});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, state("replica-4").pool.limit());
    CPPUNIT_ASSERT(state("replica-3").opens_links_ahead);
    CPPUNIT_ASSERT(!state("replica-4").in_other_region);
  }

  void reading_zones_exclude_leaving_backends() {
    registry::BackendEntry remote = backend("replica-3", 4);
    remote.zone = ZoneName("b");
    group_->put_backend(remote);
    CPPUNIT_ASSERT(group_->backends.reading_zones() == (std::vector<ZoneName>{ZoneName("a"), ZoneName("b")}));
    remote.leaving = true;
    group_->put_backend(remote);
    CPPUNIT_ASSERT(group_->backends.reading_zones() == std::vector<ZoneName>{ZoneName("a")});
  }

 private:
  /// Proxies named by zone and number, e.g. a-0.
  static std::vector<subset::ProxyPointer> serving_proxies(
      const std::vector<std::pair<std::string, int>>& zones) {
    std::vector<subset::ProxyPointer> serving;
    for (const auto& [zone, count] : zones) {
      for (int number = 0; number < count; ++number)
        serving.push_back(std::make_shared<subset::ProxyView>(subset::ProxyView{
            NodeName(zone + "-" + std::to_string(number)), ZoneName(zone), {"10.0.0.1", 1}}));
    }
    return serving;
  }

  Awaitable<void> acquire(std::shared_ptr<BackendState> backend) {
    std::optional<Refusal> refusal;
    Reason reason;
    LinkRequest link_request;
    const TimePoint deadline = runtime_->now() + seconds(1);
    const LinkDeadlines deadlines{deadline, deadline};
    co_await backend->pool.acquire(std::move(link_request), deadlines, refusal, reason);
  }

  static registry::BackendEntry incarnation(const std::string& name, std::uint16_t port,
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
      LinkRequest link_request;
      link = co_await pool.acquire(std::move(link_request), deadlines, refusal, reason);
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
    LinkRequest link_request;
    co_await pool.acquire(std::move(link_request), deadlines, refusal, reason);
  }
  [[nodiscard]] bool is_primary_off_limits() const {
    const auto leader = group_->backends.open_primary();
    return leader && leader->is_off_limits(runtime_->now());
  }
  BackendState& state(const std::string& name) { return *group_->backends.all().at(BackendName(name)); }

  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  NoDialer dialer_;
  std::shared_ptr<EvacuatedZones> evacuated_ = std::make_shared<EvacuatedZones>(seconds(5));
  std::unique_ptr<GroupAccess> group_;
  ReadNeed need_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupAccessTest);

}  // namespace cairnhollow::registered::proxy
