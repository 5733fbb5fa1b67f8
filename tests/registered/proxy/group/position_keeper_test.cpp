// A proxy that runs no writes learns the primary's log position only from the primary itself and under its
// lease.
#include "registered/proxy/group/position_keeper.h"

#include <cppunit/extensions/HelperMacros.h>

#include "simulation/world.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The status that the backend reports.
struct BackendReport {
  BackendStatus status{true, 1, Position{1, 7}, 0};
  int queries = 0;
  Duration answer_delay{0};
};

class StatusLink : public BackendLink {
 public:
  StatusLink(runtime::Runtime& runtime, BackendReport& report) : runtime_(runtime), report_(report) {}
  Awaitable<std::optional<Answer>> run(BackendRequest request, TimePoint /*deadline*/,
                                       runtime::SendState& /*sent*/, Reason& /*reason*/) override {
    if (std::holds_alternative<GetStatus>(request)) ++report_.queries;
    if (report_.answer_delay > Duration(0)) co_await runtime_.sleep_for(report_.answer_delay);
    Answer answer;
    answer.position = report_.status.received;
    co_return answer;
  }
  std::optional<BackendStatus> read_status(const Answer& /*answer*/, Reason& /*reason*/) override {
    return report_.status;
  }
  void close() override { open_ = false; }
  [[nodiscard]] bool is_open() const override { return open_; }
  [[nodiscard]] std::string peer() const override { return "backend"; }

 private:
  runtime::Runtime& runtime_;
  BackendReport& report_;
  bool open_ = true;
};

class StatusDialer : public BackendDialer {
 public:
  explicit StatusDialer(runtime::Runtime& runtime) : runtime_(runtime) {}
  Awaitable<std::shared_ptr<BackendLink>> open(BackendAddress /*address*/, TimePoint /*deadline*/,
                                               std::optional<Refusal>& /*refusal*/,
                                               Reason& /*reason*/) override {
    co_return std::make_shared<StatusLink>(runtime_, report);
  }
  BackendReport report;

 private:
  runtime::Runtime& runtime_;
};

registry::FleetDelta fleet() {
  registry::BackendEntry primary;
  primary.name = BackendName("primary");
  primary.group = GroupName("group");
  primary.endpoint = {"10.0.0.9", 1};
  primary.zone = ZoneName("b");
  primary.slots = 3;
  registry::FleetDelta delta;
  delta.is_full = true;
  delta.revision = 1;
  delta.document_version = 1;
  delta.groups = {{GroupName("group"), 56, 1}};
  delta.backends = {primary};
  delta.terms = {{GroupName("group"), 1, BackendName("primary"), true, 1, 1}};
  delta.requires_keys = true;
  return delta;
}

}  // namespace

class PositionRefresherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PositionRefresherTest);
  CPPUNIT_TEST(refreshes_position_for_reads);
  CPPUNIT_TEST(no_queries_without_reads);
  CPPUNIT_TEST(no_queries_without_tenants);
  CPPUNIT_TEST(ignores_former_primary);
  CPPUNIT_TEST(ignores_answer_of_other_term);
  CPPUNIT_TEST(ignores_answer_after_term_ended);
  CPPUNIT_TEST(no_queries_without_lease);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    runtime_ = &world_->start_bare({"proxy", "10.0.0.1", ZoneName("a")});
    dialer_ = std::make_unique<StatusDialer>(*runtime_);
    SessionProxySettings settings;
    settings.node = NodeName("proxy");
    settings.zone = ZoneName("a");
    view_ = std::make_unique<FleetView>(*runtime_, *dialer_, settings);
    refresher_ = std::make_unique<PositionRefresher>(*runtime_, *view_);
    refresher_->start();
    route_.reads = registry::ReadPolicy::kBoundedStaleness;
    route_.max_staleness_ms = 1500;
  }
  void tearDown() override {
    refresher_->stop();
    world_.reset();
    refresher_.reset();
    view_.reset();
    dialer_.reset();
  }

  void refreshes_position_for_reads() {
    begin(fleet());
    read_for(seconds(3));
    int at_primary = 0;
    for (int tick = 0; tick < 60; ++tick) at_primary += read_once() ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(0, at_primary);
    CPPUNIT_ASSERT_MESSAGE("about two queries a second", dialer_->report.queries <= 16);
  }

  void no_queries_without_reads() {
    begin(fleet());
    world_->run_for(seconds(3));
    CPPUNIT_ASSERT_EQUAL(0, dialer_->report.queries);
    read_for(seconds(1));
    const int query_count = dialer_->report.queries;
    CPPUNIT_ASSERT(query_count > 0);
    world_->run_for(seconds(10));
    CPPUNIT_ASSERT_MESSAGE("queries stop when reads stop", dialer_->report.queries <= query_count + 3);
  }

  void no_queries_without_tenants() {
    registry::FleetDelta delta = fleet();
    delta.requires_keys = false;
    begin(delta);
    read_for(seconds(1));
    CPPUNIT_ASSERT_EQUAL(0, dialer_->report.queries);
  }

  void ignores_former_primary() {
    dialer_->report.status.is_primary = false;
    begin(fleet());
    read_for(seconds(1));
    CPPUNIT_ASSERT(dialer_->report.queries > 0 && read_once());
  }

  void ignores_answer_of_other_term() {
    dialer_->report.status.term = 2;
    begin(fleet());
    read_for(seconds(1));
    CPPUNIT_ASSERT(dialer_->report.queries > 0 && read_once());
  }

  void ignores_answer_after_term_ended() {
    dialer_->report.answer_delay = milliseconds(200);
    begin(fleet());
    read_for(milliseconds(250));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("one query is pending", 1, dialer_->report.queries);
    dialer_->report.answer_delay = seconds(60);
    registry::FleetDelta delta;
    delta.revision = 2;
    delta.document_version = 1;
    delta.requires_keys = true;
    delta.terms = {{GroupName("group"), 2, BackendName("primary"), true, 3, 2}};
    view_->apply(delta);
    read_for(milliseconds(300));
    CPPUNIT_ASSERT(read_once());
  }

  void no_queries_without_lease() {
    view_->apply(fleet());
    read_for(seconds(1));
    CPPUNIT_ASSERT(read_once());
    CPPUNIT_ASSERT_EQUAL(0, dialer_->report.queries);
  }

 private:
  void begin(const registry::FleetDelta& delta) {
    view_->apply(delta);
    view_->extend_lease(runtime_->now(), runtime_->now() + seconds(60), 1);
  }
  /// Whether a read would have to go to the primary now.
  bool read_once() {
    world_->run_for(milliseconds(20));
    return view_->find_group(GroupName("group"))->need_of(route_, SessionCommit{}).primary_only;
  }
  void read_for(Duration duration) {
    const TimePoint end = runtime_->now() + duration;
    while (runtime_->now() < end) read_once();
  }

  std::unique_ptr<simulation::World> world_;
  simulation::VirtualRuntime* runtime_ = nullptr;
  std::unique_ptr<StatusDialer> dialer_;
  std::unique_ptr<FleetView> view_;
  std::unique_ptr<PositionRefresher> refresher_;
  registry::RouteRule route_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PositionRefresherTest);

}  // namespace cairnhollow::registered::proxy
