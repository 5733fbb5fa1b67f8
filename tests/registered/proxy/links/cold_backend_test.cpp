// When a backend counts as cold, and how that affects the choice of a backend.
#include "registered/proxy/links/cold_backend.h"

#include <cppunit/extensions/HelperMacros.h>

#include "registered/proxy/fleet/fleet_view.h"
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
                                               std::optional<Refusal>& /*refusal*/,
                                               Reason& /*reason*/) override {
    ++dials;
    co_return nullptr;
  }
  int dials = 0;
};

const GroupName kGroup("group");

registry::BackendEntry backend(const std::string& name, std::uint16_t port, std::uint64_t cold_ms = 0) {
  registry::BackendEntry entry;
  entry.name = BackendName(name);
  entry.group = kGroup;
  entry.endpoint = {"10.0.0.9", port};
  entry.zone = ZoneName("a");
  entry.slots = 2;
  entry.cold_ms = cold_ms;
  return entry;
}

registry::FleetDelta fleet(double cold_rate) {
  registry::FleetDelta delta;
  delta.is_full = true;
  delta.revision = 1;
  registry::GroupRule rule;
  rule.name = kGroup;
  rule.cold_start_ms = 5000;
  rule.cold_rate_per_s = cold_rate;
  delta.groups = {rule};
  delta.backends = {backend("primary", 1), backend("cold", 2, 4000), backend("warm", 3)};
  delta.terms = {{kGroup, 1, BackendName("primary"), true, 1, 1, 0}};
  return delta;
}

SessionProxySettings settings(double overshoot, double slack) {
  SessionProxySettings settings;
  settings.node = NodeName("proxy");
  settings.zone = ZoneName("a");
  settings.cold_overshoot = overshoot;
  settings.cold_slack = slack;
  return settings;
}

}  // namespace

class ColdBackendTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdBackendTest);
  CPPUNIT_TEST(stays_cold_until_reported_otherwise);
  CPPUNIT_TEST(no_limit_without_configured_bound);
  CPPUNIT_TEST(idle_cold_backend_is_not_preferred);
  CPPUNIT_TEST(skips_cold_backend_without_tokens);
  CPPUNIT_TEST(opens_no_links_ahead_to_cold_backend);
  CPPUNIT_TEST(zone_is_cold_after_evacuation_ends);
  CPPUNIT_TEST(zone_is_cold_after_snapshot_ends_evacuation);
  CPPUNIT_TEST(reads_avoid_primary_without_tokens);
  CPPUNIT_TEST(unreachable_backend_is_cold_until_confirmed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    runtime_ = &world_->start_bare({"proxy", "10.0.0.1", ZoneName("a")});
    start(1.5, 5, 10);
  }
  void tearDown() override {
    view_.reset();
    world_.reset();
  }

  void stays_cold_until_reported_otherwise() {
    CPPUNIT_ASSERT(is_cold("cold"));
    CPPUNIT_ASSERT(!is_cold("warm"));
    const auto limit = view_->cold_limit(BackendName("cold"));
    CPPUNIT_ASSERT(limit);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(20.0, limits::allowance(*limit), 1e-9);
    world_->run_for(seconds(20));
    CPPUNIT_ASSERT_MESSAGE("a proxy does not count the reported time down", is_cold("cold"));
    group().put_backend(backend("cold", 2, 0));
    CPPUNIT_ASSERT(!is_cold("cold"));
    CPPUNIT_ASSERT(!view_->cold_limit(BackendName("unknown")));
  }

  void no_limit_without_configured_bound() {
    start(1.5, 5, 0);
    CPPUNIT_ASSERT_MESSAGE("the group has no rate", !is_cold("cold"));
    CPPUNIT_ASSERT(!view_->cold_limit(BackendName("cold")));
    start(0, 0, 10);
    CPPUNIT_ASSERT_MESSAGE("the operator sets no bound", !is_cold("cold"));
    CPPUNIT_ASSERT(!view_->cold_limit(BackendName("cold")));
  }

  void idle_cold_backend_is_not_preferred() {
    CPPUNIT_ASSERT_EQUAL(std::string("warm"), chosen({}));
    group().put_backend(backend("cold", 2, 0));
    group().put_backend(backend("warm", 3, 4000));
    CPPUNIT_ASSERT_EQUAL(std::string("cold"), chosen({}));
    CPPUNIT_ASSERT_MESSAGE("the primary is cheaper than a cold replica",
                           chosen({BackendName("cold")}) == "primary");
  }

  void skips_cold_backend_without_tokens() {
    const std::set<BackendName> others{BackendName("warm"), BackendName("primary")};
    CPPUNIT_ASSERT_EQUAL(std::string("cold"), chosen(others));
    state("cold").cold_limit_reached_until = runtime_->now() + milliseconds(80);
    CPPUNIT_ASSERT_EQUAL(std::string(), chosen(others));
    const auto facts = group().evaluator.facts_of(state("cold"), {});
    CPPUNIT_ASSERT(facts.cold_limit_reached);
    CPPUNIT_ASSERT(facts.retry_after == milliseconds(80));
    world_->run_for(milliseconds(81));
    CPPUNIT_ASSERT_EQUAL(std::string("cold"), chosen(others));
    state("warm").cold_limit_reached_until = runtime_->now() + seconds(1);
    CPPUNIT_ASSERT_MESSAGE("a warm backend is not limited",
                           !group().evaluator.facts_of(state("warm"), {}).cold_limit_reached);
  }

  void opens_no_links_ahead_to_cold_backend() {
    for (const char* name : {"warm", "primary"}) state(name).entry.leaving = true;
    CPPUNIT_ASSERT(!warm_one(*runtime_, group()));
    state("cold").entry.cold_ms = 0;
    CPPUNIT_ASSERT(warm_one(*runtime_, group()));
  }

  void zone_is_cold_after_evacuation_ends() {
    registry::FleetDelta delta;
    delta.revision = 2;
    delta.ended_evacuations = {ZoneName("b")};
    view_->apply(delta);
    CPPUNIT_ASSERT_MESSAGE("the evacuation of another zone ended", !is_cold("warm"));
    delta.revision = 3;
    delta.ended_evacuations = {ZoneName("a")};
    view_->apply(delta);
    CPPUNIT_ASSERT(is_cold("warm"));
    world_->run_for(kColdAfterEvacuation - milliseconds(1));
    CPPUNIT_ASSERT(is_cold("warm"));
    world_->run_for(milliseconds(2));
    CPPUNIT_ASSERT(!is_cold("warm"));
  }

  void zone_is_cold_after_snapshot_ends_evacuation() {
    registry::FleetDelta delta = fleet(10);
    delta.revision = 2;
    delta.evacuations = {{ZoneName("a")}, {ZoneName("b")}};
    view_->apply(delta);
    delta.revision = 3;
    delta.evacuations = {{ZoneName("a")}};
    view_->apply(delta);
    CPPUNIT_ASSERT_MESSAGE("the evacuation of another zone ended", !is_cold("warm"));
    delta.revision = 4;
    delta.evacuations.clear();
    view_->apply(delta);
    CPPUNIT_ASSERT(is_cold("warm"));
    world_->run_for(kColdAfterEvacuation + milliseconds(1));
    CPPUNIT_ASSERT(!is_cold("warm"));
  }

  void reads_avoid_primary_without_tokens() {
    registry::RouteRule route;
    route.reads = registry::ReadPolicy::kBoundedStaleness;
    route.max_staleness_ms = 900;
    group().positions.record(runtime_->now(), Position{1, 10});
    world_->run_for(milliseconds(600));
    group().positions.record(runtime_->now() - milliseconds(500), Position{1, 11});
    CPPUNIT_ASSERT_MESSAGE("the read refreshes the position at the primary", is_for_primary(route));
    state("primary").cold_limit_reached_until = runtime_->now() + milliseconds(80);
    CPPUNIT_ASSERT_MESSAGE("a warm backend is not limited", is_for_primary(route));
    group().put_backend(backend("primary", 1, 4000));
    CPPUNIT_ASSERT(!is_for_primary(route));
    world_->run_for(milliseconds(81));
    CPPUNIT_ASSERT(is_for_primary(route));
  }

  void unreachable_backend_is_cold_until_confirmed() {
    RestartDetector& restart_detector = state("warm").restart_detector;
    restart_detector.record_reached(runtime_->now());
    CPPUNIT_ASSERT_MESSAGE("it was never unreachable", !is_cold("warm"));
    restart_detector.mark_unreachable();
    confirm(runtime_->now() + seconds(60));
    CPPUNIT_ASSERT_MESSAGE("a confirmation while it is unreachable does not count", is_cold("warm"));
    start(1.5, 5, 10);
    state("warm").restart_detector.mark_unreachable();
    state("warm").restart_detector.record_reached(runtime_->now());
    const TimePoint reached = runtime_->now();
    confirm(reached + kRestartRegistrationTime - milliseconds(1));
    world_->run_for(seconds(30));
    state("warm").restart_detector.record_reached(runtime_->now());
    CPPUNIT_ASSERT_MESSAGE("the query was sent too early, and time alone proves nothing", is_cold("warm"));
    confirm(reached + kRestartRegistrationTime);
    CPPUNIT_ASSERT(!is_cold("warm"));
  }

 private:
  void start(double overshoot, double slack, double rate) {
    view_ = std::make_unique<FleetView>(*runtime_, dialer_, settings(overshoot, slack));
    view_->apply(fleet(rate));
    need_.required = Position{1, 10};
    need_.required_since = runtime_->now();
    world_->run_for(milliseconds(100));
  }
  void confirm(TimePoint asked_at) { view_->extend_lease(asked_at, asked_at, 1); }
  GroupAccess& group() { return *view_->find_group(kGroup); }
  BackendState& state(const std::string& name) { return *group().backends.all().at(BackendName(name)); }
  bool is_for_primary(const registry::RouteRule& route) { return group().need_of(route, {}).primary_only; }
  bool is_cold(const std::string& name) { return group().cold.is_cold(state(name)); }
  std::string chosen(const std::set<BackendName>& excluded) {
    const auto reader = choose_reader(group(), need_, excluded);
    return reader ? reader->entry.name.value : std::string();
  }

  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  NoDialer dialer_;
  std::unique_ptr<FleetView> view_;
  ReadNeed need_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdBackendTest);

}  // namespace cairnhollow::registered::proxy
