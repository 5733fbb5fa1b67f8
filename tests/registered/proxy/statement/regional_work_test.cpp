// Where work at a primary runs if the deployment spans two regions and links belong to no tenant: at a proxy
// near the primary, or here after a wait.
#include <memory>
#include <string>

#include "tests/registered/proxy/statement/runner_fixture.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RegionalWorkTest : public RunnerFixture {
  CPPUNIT_TEST_SUITE(RegionalWorkTest);
  CPPUNIT_TEST(forwards_writes_to_region_of_primary);
  CPPUNIT_TEST(runs_writes_in_region_of_primary);
  CPPUNIT_TEST(reads_stay_at_serving_proxy);
  CPPUNIT_TEST(forwards_reads_to_zone_of_near_backend);
  CPPUNIT_TEST(changes_nothing_in_one_region);
  CPPUNIT_TEST(changes_nothing_where_links_belong_to_tenants);
  CPPUNIT_TEST(writes_wait_here_while_no_primary_is_known);
  CPPUNIT_TEST(writes_wait_at_proxies_that_do_not_serve_the_group);
  CPPUNIT_TEST(asks_other_proxies_without_a_lease);
  CPPUNIT_TEST(forwards_waiting_writes_to_region_of_new_primary);
  CPPUNIT_TEST(runs_waiting_writes_here_if_new_primary_is_near);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    RunnerFixture::setUp();
    start({{ZoneName("a"), RegionName("north")},
           {ZoneName("a2"), RegionName("north")},
           {ZoneName("b"), RegionName("south")}});
  }

  void forwards_writes_to_region_of_primary() {
    open_group("two", 2);
    CPPUNIT_ASSERT_EQUAL(std::string("there"), first_target(GroupWork::kAtPrimary));
  }

  void runs_writes_in_region_of_primary() {
    CPPUNIT_ASSERT_EQUAL(std::string(), first_target(GroupWork::kAtPrimary));
    run(new_write());
    CPPUNIT_ASSERT_EQUAL(1, sent("one"));
  }

  void reads_stay_at_serving_proxy() {
    open_group("two", 2);
    CPPUNIT_ASSERT_EQUAL(std::string(), first_target(GroupWork::kSingleReads));
  }

  void forwards_reads_to_zone_of_near_backend() {
    registry::FleetDelta delta = two_regions();
    delta.backends[0].zone = ZoneName("a2");
    proxy_->view.apply(delta);
    CPPUNIT_ASSERT_EQUAL(std::string("near"), first_target(GroupWork::kSingleReads));
    delta.backends.erase(delta.backends.begin());
    delta.terms.front().primary = BackendName("two");
    proxy_->view.apply(delta);
    proxy_->view.find_group(kGroup)->remove_backend(BackendName("one"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("only the other region can read", std::string("there"),
                                 first_target(GroupWork::kSingleReads));
  }

  void changes_nothing_in_one_region() {
    start({{ZoneName("a"), RegionName("north")},
           {ZoneName("a2"), RegionName("north")},
           {ZoneName("b"), RegionName("north")}});
    open_group("two", 2);
    CPPUNIT_ASSERT(!proxy_->view.divides_by_region());
    CPPUNIT_ASSERT_EQUAL(std::string(), first_target(GroupWork::kAtPrimary));
    start({});
    open_group("two", 2);
    CPPUNIT_ASSERT(!proxy_->view.divides_by_region());
    CPPUNIT_ASSERT_EQUAL(std::string(), first_target(GroupWork::kAtPrimary));
  }

  void changes_nothing_where_links_belong_to_tenants() {
    registry::FleetDelta delta = two_regions();
    delta.revision = 3;
    delta.requires_keys = true;
    proxy_->view.apply(delta);
    open_group("two", 2);
    CPPUNIT_ASSERT(!proxy_->view.divides_by_region());
    CPPUNIT_ASSERT_EQUAL(std::string(), first_target(GroupWork::kAtPrimary));
  }

  void writes_wait_here_while_no_primary_is_known() {
    open_group("two", 2);
    close_group();
    CPPUNIT_ASSERT_EQUAL(std::string(), first_target(GroupWork::kAtPrimary));
  }

  void writes_wait_at_proxies_that_do_not_serve_the_group() {
    // Two of three proxies serve the group: those in the zones of its backends, which this one is not.
    registry::FleetDelta delta = two_regions();
    delta.backends[0].zone = ZoneName("a2");
    delta.groups.front().max_connections = 10;
    proxy_->view.apply(delta);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, proxy_->view.forwarding_targets(kGroup).size());
    CPPUNIT_ASSERT_EQUAL(std::string("near"), first_target(GroupWork::kAtPrimary));
    close_group();
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the next primary may be in any region", std::string(),
                                 first_target(GroupWork::kAtPrimary));
  }

  void asks_other_proxies_without_a_lease() {
    proxy_->view.apply(two_regions());
    close_group();
    world_->run_for(seconds(61));
    CPPUNIT_ASSERT(!proxy_->view.holds_lease_for(*proxy_->view.find_group(kGroup)));
    RunResult result = run(new_write());
    CPPUNIT_ASSERT(result.answer.refusal == Refusal::kBusy);
    CPPUNIT_ASSERT_EQUAL(1, forwarded("no_lease"));
  }

  void forwards_waiting_writes_to_region_of_new_primary() {
    RunResult result;
    run_while_closed(result);
    open_group("two", 2);
    world_->run_for(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(1, forwarded("served_elsewhere"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("this proxy comes next, as the other one is unreachable", 1, sent("two"));
  }

  void runs_waiting_writes_here_if_new_primary_is_near() {
    RunResult result;
    run_while_closed(result);
    open_group("one", 2);
    world_->run_for(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(0, forwarded("served_elsewhere"));
    CPPUNIT_ASSERT_EQUAL(1, sent("one"));
  }

 private:
  void start(const ZoneRegions& regions) {
    proxy_ = std::make_unique<Proxy>(*runtime_, seconds(60), regions);
    proxy_->view.apply(two_regions());
  }
  /// Backend "one" in this zone, "two" in the other region; three proxies, all of which serve the group.
  static registry::FleetDelta two_regions() {
    registry::FleetDelta delta = fleet();
    delta.requires_keys = false;
    delta.tenants.clear();
    delta.routes.front().is_public = true;
    delta.backends[1].zone = ZoneName("b");
    delta.proxies = {{NodeName("proxy"), 1, ZoneName("a"), {"10.0.0.1", 7440}, false},
                     {NodeName("near"), 1, ZoneName("a2"), {"10.0.0.2", 7440}, false},
                     {NodeName("there"), 1, ZoneName("b"), {"10.0.0.3", 7440}, false}};
    return delta;
  }
  StatementRequest new_write() {
    StatementRequest write = new_request();
    write.tenant = TenantName();
    write.key = ApiKey();
    return write;
  }
  std::string first_target(GroupWork work) {
    const auto& proxies = proxy_->view.forwarding_targets(kGroup, TenantName(), work);
    return proxies.empty() ? std::string() : proxies.front()->name.value;
  }
  void close_group() {
    proxy_->view.find_group(kGroup)->set_term({kGroup, 1, BackendName("one"), false, 1, 1});
  }
  void open_group(const std::string& primary, std::uint64_t epoch) {
    proxy_->view.find_group(kGroup)->set_term({kGroup, epoch, BackendName(primary), true, epoch, epoch});
  }
  /// Closes the group and starts a write, which then waits.
  void run_while_closed(RunResult& result) {
    close_group();
    runtime_->spawn("run", keep(proxy_->runner.run(new_write()), result));
    world_->run_for(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(0, forwarded("served_elsewhere"));
  }
  [[nodiscard]] int forwarded(const std::string& cause) const {
    const std::string text = proxy_->metrics.render();
    const std::string line = "cairnhollow_session_forwarded_total{cause=\"" + cause + "\"} ";
    const auto at = text.find(line);
    return at == std::string::npos ? 0 : std::stoi(text.substr(at + line.size()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegionalWorkTest);

}  // namespace cairnhollow::registered::proxy
