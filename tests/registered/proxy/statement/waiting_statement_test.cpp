// Statements that wait at the proxy until their group has a primary: then run here, forwarded or refused.
#include <memory>
#include <set>
#include <string>

#include "registered/proxy/forwarding/forward_messages.h"
#include "tests/registered/proxy/statement/runner_stand.h"
#include "wire/codec.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

class WaitingStatementTest : public RunnerStand {
  CPPUNIT_TEST_SUITE(WaitingStatementTest);
  CPPUNIT_TEST(a_closed_groups_writes_are_handed_to_nobody);
  CPPUNIT_TEST(without_a_lease_a_closed_groups_writes_are_handed_on);
  CPPUNIT_TEST(a_write_that_waited_goes_to_the_tenants_proxy_of_the_primarys_zone);
  CPPUNIT_TEST(a_forwarded_write_that_waited_stays);
  CPPUNIT_TEST(a_write_without_tenant_that_waited_stays);
  CPPUNIT_TEST(what_a_backend_was_offered_stays);
  CPPUNIT_TEST(a_write_that_waited_runs_here_when_the_primary_is_near);
  CPPUNIT_TEST(a_write_behind_commits_that_stall_may_have_run_before);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    RunnerStand::setUp();
    registry::FleetDelta delta = fleet();
    delta.backends[1].zone = ZoneName("b");
    delta.proxies = {{NodeName("proxy"), 1, ZoneName("a"), {"10.0.0.1", 7440}, false},
                     {NodeName("near"), 1, ZoneName("a"), {"10.0.0.2", 7440}, false},
                     {NodeName("there"), 1, ZoneName("b"), {"10.0.0.3", 7440}, false}};
    proxy_->view.apply(delta);
  }

  void a_closed_groups_writes_are_handed_to_nobody() {
    std::set<std::string> open;
    std::set<std::string> reads;
    for (int each = 0; each < 20; ++each) {
      const std::string tenant = "tenant-" + std::to_string(each);
      open.insert(handed_to(tenant, GroupWork::kAtPrimary));
      close_group();
      CPPUNIT_ASSERT_EQUAL(std::string(), handed_to(tenant, GroupWork::kAtPrimary));
      reads.insert(handed_to(tenant, GroupWork::kSingleReads));
      open_group("one", 1);
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the two proxies of this zone", std::size_t{2}, open.size());
    CPPUNIT_ASSERT_MESSAGE("reads go to the same proxies as before", reads == open);
  }

  void without_a_lease_a_closed_groups_writes_are_handed_on() {
    close_group();
    world_->run_for(seconds(61));
    std::set<std::string> closed;
    for (int each = 0; each < 20; ++each)
      closed.insert(handed_to("tenant-" + std::to_string(each), GroupWork::kAtPrimary));
    CPPUNIT_ASSERT_MESSAGE("another proxy may know the primary", closed.count("near") > 0);
  }

  void a_write_that_waited_goes_to_the_tenants_proxy_of_the_primarys_zone() {
    int orders = 0;
    auto& there = world_->start_bare({"there", "10.0.0.3", ZoneName("b")});
    there.spawn("take_orders", take_orders(there, orders));
    RunResult result;
    wait_closed(order(), result);
    CPPUNIT_ASSERT_EQUAL(0, forwarded());
    open_group("two", 2);
    world_->run_for(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(1, forwarded());
    CPPUNIT_ASSERT_EQUAL(1, orders);
    CPPUNIT_ASSERT_EQUAL(0, sent("two"));
  }

  void a_forwarded_write_that_waited_stays() {
    StatementRequest forwarded_here = order();
    forwarded_here.is_forwarded = true;
    CPPUNIT_ASSERT(stays(std::move(forwarded_here), "two"));
  }

  void a_write_without_tenant_that_waited_stays() {
    StatementRequest of_nobody = order();
    of_nobody.tenant = TenantName();
    of_nobody.key = ApiKey();
    of_nobody.route.is_public = true;
    CPPUNIT_ASSERT(stays(std::move(of_nobody), "two"));
  }

  void what_a_backend_was_offered_stays() {
    registry::FleetDelta delta;
    delta.revision = 2;
    delta.requires_keys = true;
    delta.removed_proxies = {NodeName("near")};
    proxy_->view.apply(delta);
    backends().statement_takes = milliseconds(40);
    StatementRequest read = order();
    read.writes = false;
    read.route.reads = registry::ReadPolicy::kPrimary;
    RunResult result;
    runtime_->spawn("run", keep(proxy_->runner.run(std::move(read)), result));
    world_->run_for(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(1, sent("one"));
    close_group();
    world_->run_for(milliseconds(80));
    open_group("two", 2);
    world_->run_for(seconds(1));
    CPPUNIT_ASSERT_EQUAL(0, forwarded());
    CPPUNIT_ASSERT_EQUAL(1, sent("two"));
  }

  void a_write_that_waited_runs_here_when_the_primary_is_near() {
    registry::FleetDelta delta;
    delta.revision = 2;
    delta.requires_keys = true;
    delta.removed_proxies = {NodeName("near")};
    proxy_->view.apply(delta);
    RunResult result;
    wait_closed(order(), result);
    open_group("one", 2);
    world_->run_for(seconds(1));
    CPPUNIT_ASSERT_EQUAL(0, forwarded());
    CPPUNIT_ASSERT_EQUAL(1, sent("one"));
  }

  void a_write_behind_commits_that_stall_may_have_run_before() {
    world_->run_for(milliseconds(50));
    const auto group = proxy_->view.find_group(kGroup);
    const auto link = std::make_shared<ScriptedLink>(*runtime_, backends(), "one");
    group->primary_health.begin_work(PrimaryWork{link, runtime_->now(), true});
    world_->run_for(seconds(1));
    for (const bool may_have_run : {false, true}) {
      StatementRequest again = order();
      again.is_forwarded = true;
      again.may_have_run = may_have_run;
      const RunResult result = run(std::move(again));
      CPPUNIT_ASSERT(result.answer.refusal == Refusal::kBusy);
      CPPUNIT_ASSERT_EQUAL(!may_have_run, result.nothing_run);
    }
    CPPUNIT_ASSERT_EQUAL(0, sent("one"));
  }

 private:
  /// Counts the forwarded statements that arrive at this process, without answering them.
  static Awaitable<void> take_orders(runtime::Runtime& runtime, int& orders) {
    Reason reason;
    const auto listener = runtime.network().listen({"10.0.0.3", 7440}, reason);
    const auto connection = co_await listener->accept(reason);
    while (connection) {
      const auto frame = co_await connection->receive(reason);
      if (!frame) co_return;
      const auto request = wire::decode<ForwardRequest>(*frame, reason);
      if (request && std::holds_alternative<ForwardRun>(request->body)) ++orders;
    }
  }
  /// The first proxy that the tenant's work is forwarded to; empty if none.
  std::string handed_to(const std::string& tenant, GroupWork work) {
    const auto& order = proxy_->view.forward_to(kGroup, TenantName(tenant), work);
    return order.empty() ? std::string() : order.front()->name.value;
  }
  void close_group() {
    proxy_->view.find_group(kGroup)->set_term({kGroup, 1, BackendName("one"), false, 1, 1});
  }
  void open_group(const std::string& primary, std::uint64_t epoch) {
    proxy_->view.find_group(kGroup)->set_term({kGroup, epoch, BackendName(primary), true, epoch, epoch});
  }
  [[nodiscard]] int forwarded() const {
    const std::string text = proxy_->metrics.render();
    const std::string line = "cairnhollow_session_forwarded_total{cause=\"served_elsewhere\"} ";
    const auto at = text.find(line);
    return at == std::string::npos ? 0 : std::stoi(text.substr(at + line.size()));
  }
  /// Closes the group and starts the request, which then waits.
  void wait_closed(StatementRequest order, RunResult& result) {
    close_group();
    runtime_->spawn("run", keep(proxy_->runner.run(std::move(order)), result));
    world_->run_for(milliseconds(50));
  }
  /// Whether a request that waited runs here once `primary` leads.
  bool stays(StatementRequest order, const std::string& primary) {
    RunResult result;
    wait_closed(std::move(order), result);
    open_group(primary, 2);
    world_->run_for(seconds(1));
    return forwarded() == 0 && sent(primary) == 1;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitingStatementTest);

}  // namespace cairnhollow::registered::proxy
