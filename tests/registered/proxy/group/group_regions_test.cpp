// Backend choice for statements restricted to regions, and bounded-staleness reads while the primary is
// outside them.
#include <cppunit/extensions/HelperMacros.h>

#include "registered/placement/retry_after.h"
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

registry::BackendEntry backend(const std::string& name, std::uint16_t port, const std::string& zone) {
  registry::BackendEntry entry;
  entry.name = BackendName(name);
  entry.group = GroupName("group");
  entry.endpoint = {"10.0.0.9", port};
  entry.zone = ZoneName(zone);
  entry.slots = 2;
  return entry;
}

}  // namespace

class GroupRegionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupRegionsTest);
  CPPUNIT_TEST(reads_stay_in_permitted_regions);
  CPPUNIT_TEST(outside_primary_does_not_replace_lagging_replica);
  CPPUNIT_TEST(rejection_is_final_without_permitted_backend);
  CPPUNIT_TEST(older_positions_serve_with_primary_outside);
  CPPUNIT_TEST(one_position_query_at_a_time);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    runtime_ = &world_->start_bare({"proxy", "10.0.0.1", ZoneName("n1")});
    group_ = std::make_unique<GroupAccess>(*runtime_, dialer_, GroupName("group"), ZoneName("n1"),
                                           std::make_shared<EvacuatedZones>(std::chrono::seconds(5)));
    group_->put_backend(backend("primary", 1, "n1"));
    group_->put_backend(backend("near", 2, "n1"));
    group_->put_backend(backend("south", 3, "s1"));
    group_->set_term({GroupName("group"), 1, BackendName("primary"), true, 1, 1});
    world_->run_for(milliseconds(100));
    need_.required = Position{1, 10};
    need_.required_since = runtime_->now();
    need_.allowed = &south_;
  }
  void tearDown() override {
    group_.reset();
    world_.reset();
  }

  void reads_stay_in_permitted_regions() {
    CPPUNIT_ASSERT_EQUAL(std::string("south"), choose_reader(*group_, need_, {})->entry.name.value);
    CPPUNIT_ASSERT(
        !group_->evaluator.has_other_reader(need_, *group_->backends.all().at(BackendName("south"))));
    CPPUNIT_ASSERT(choose_reader(*group_, need_, {BackendName("south")}) == nullptr);
    const locality::PermittedRegions anywhere;
    need_.allowed = &anywhere;
    CPPUNIT_ASSERT_EQUAL(std::string("near"), choose_reader(*group_, need_, {})->entry.name.value);
  }

  void outside_primary_does_not_replace_lagging_replica() {
    group_->record_replica_answer(*group_->backends.all().at(BackendName("south")), need_, std::nullopt);
    CPPUNIT_ASSERT_EQUAL(std::string("south"), choose_reader(*group_, need_, {})->entry.name.value);
  }

  void rejection_is_final_without_permitted_backend() {
    need_.primary_only = true;
    auto choice = placement::choose_backend(true, group_->evaluator.facts({&need_, nullptr, &south_}));
    CPPUNIT_ASSERT(!choice.backend && choice.is_final);
    CPPUNIT_ASSERT(choice.rejection == placement::RejectionReason::kOutsideRegions);
    CPPUNIT_ASSERT(choice.retry_after == placement::kRetryAfterOutsideRegions);
    group_->remove_backend(BackendName("south"));
    need_.primary_only = false;
    choice = placement::choose_backend(false, group_->evaluator.facts({&need_, nullptr, &south_}));
    CPPUNIT_ASSERT(!choice.backend && choice.is_final);
    // The next primary may be in a permitted region, so the rejection is not final.
    group_->put_backend(backend("south", 3, "s1"));
    group_->set_term({GroupName("group"), 1, BackendName("primary"), false, 2, 1});
    CPPUNIT_ASSERT(
        !placement::choose_backend(true, group_->evaluator.facts({&need_, nullptr, &south_})).is_final);
  }

  void older_positions_serve_with_primary_outside() {
    registry::RouteRule route;
    route.reads = registry::ReadPolicy::kBoundedStaleness;
    route.max_staleness_ms = 1500;
    CPPUNIT_ASSERT(group_->is_primary_outside(south_));
    CPPUNIT_ASSERT(group_->need_of(route, {}, &south_).primary_only);
    group_->positions.record(runtime_->now(), {1, 7});
    world_->run_for(milliseconds(1000));
    CPPUNIT_ASSERT(group_->positions.needs_refresh(milliseconds(1500)));
    CPPUNIT_ASSERT_MESSAGE("an unrestricted read refreshes the position",
                           group_->need_of(route, {}).primary_only);
    const ReadNeed bound = group_->need_of(route, {}, &south_);
    CPPUNIT_ASSERT(!bound.primary_only && bound.required == Position({1, 7}));
    CPPUNIT_ASSERT(bound.allowed == &south_);
    world_->run_for(milliseconds(600));
    CPPUNIT_ASSERT_MESSAGE("the known position is too old", group_->need_of(route, {}, &south_).primary_only);
  }

  void one_position_query_at_a_time() {
    CPPUNIT_ASSERT(group_->positions.begin_query());
    CPPUNIT_ASSERT(!group_->positions.begin_query());
    group_->positions.end_query();
    CPPUNIT_ASSERT(group_->positions.begin_query());
  }

 private:
  const locality::RegionMap map_{
      {{ZoneName("n1"), RegionName("north")}, {ZoneName("s1"), RegionName("south")}}};
  const locality::PermittedRegions south_{map_, {RegionName("south")}, {}};
  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  NoDialer dialer_;
  std::unique_ptr<GroupAccess> group_;
  ReadNeed need_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupRegionsTest);

}  // namespace cairnhollow::registered::proxy
