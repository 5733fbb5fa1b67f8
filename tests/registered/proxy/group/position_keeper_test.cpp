// A proxy that runs no writes knows where the primary's log is, from the primary itself and under its lease.
#include "registered/proxy/group/position_keeper.h"

#include <cppunit/extensions/HelperMacros.h>

#include "simulation/world.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// What the backend says of itself.
struct Told {
  BackendStatus status{true, 1, Position{1, 7}, 0};
  int questions = 0;
  Duration takes{0};
};

class StatusLink : public BackendLink {
 public:
  StatusLink(runtime::Runtime& runtime, Told& told) : runtime_(runtime), told_(told) {}
  Awaitable<std::optional<Answer>> run(BackendRequest request, TimePoint /*deadline*/,
                                       runtime::SendState& /*sent*/, Reason& /*reason*/) override {
    if (std::holds_alternative<AskStatus>(request)) ++told_.questions;
    if (told_.takes > Duration(0)) co_await runtime_.sleep_for(told_.takes);
    Answer answer;
    answer.position = told_.status.received;
    co_return answer;
  }
  std::optional<BackendStatus> read_status(const Answer& /*answer*/, Reason& /*reason*/) override {
    return told_.status;
  }
  void close() override { open_ = false; }
  [[nodiscard]] bool is_open() const override { return open_; }
  [[nodiscard]] std::string peer() const override { return "backend"; }

 private:
  runtime::Runtime& runtime_;
  Told& told_;
  bool open_ = true;
};

class StatusDialer : public BackendDialer {
 public:
  explicit StatusDialer(runtime::Runtime& runtime) : runtime_(runtime) {}
  Awaitable<std::shared_ptr<BackendLink>> open(BackendAddress /*address*/, TimePoint /*deadline*/,
                                               std::optional<Refusal>& /*refusal*/,
                                               Reason& /*reason*/) override {
    co_return std::make_shared<StatusLink>(runtime_, told);
  }
  Told told;

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

class PositionKeeperTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PositionKeeperTest);
  CPPUNIT_TEST(reads_keep_the_position_young);
  CPPUNIT_TEST(nobody_is_asked_without_reads);
  CPPUNIT_TEST(nobody_is_asked_where_links_have_no_tenant);
  CPPUNIT_TEST(one_that_leads_no_more_is_not_believed);
  CPPUNIT_TEST(one_of_another_term_is_not_believed);
  CPPUNIT_TEST(an_answer_to_a_question_of_a_term_that_ended_is_not_believed);
  CPPUNIT_TEST(without_a_lease_nothing_is_learnt);
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
    keeper_ = std::make_unique<PositionKeeper>(*runtime_, *view_);
    keeper_->start();
    route_.reads = registry::ReadPolicy::kBoundedStaleness;
    route_.max_staleness_ms = 1500;
  }
  void tearDown() override {
    keeper_->stop();
    world_.reset();
    keeper_.reset();
    view_.reset();
    dialer_.reset();
  }

  void reads_keep_the_position_young() {
    begin(fleet());
    read_for(seconds(3));
    int at_primary = 0;
    for (int tick = 0; tick < 60; ++tick) at_primary += read_once() ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(0, at_primary);
    CPPUNIT_ASSERT_MESSAGE("about two a second", dialer_->told.questions <= 16);
  }

  void nobody_is_asked_without_reads() {
    begin(fleet());
    world_->run_for(seconds(3));
    CPPUNIT_ASSERT_EQUAL(0, dialer_->told.questions);
    read_for(seconds(1));
    const int asked = dialer_->told.questions;
    CPPUNIT_ASSERT(asked > 0);
    world_->run_for(seconds(10));
    CPPUNIT_ASSERT_MESSAGE("it ends with the reads", dialer_->told.questions <= asked + 3);
  }

  void nobody_is_asked_where_links_have_no_tenant() {
    registry::FleetDelta delta = fleet();
    delta.requires_keys = false;
    begin(delta);
    read_for(seconds(1));
    CPPUNIT_ASSERT_EQUAL(0, dialer_->told.questions);
  }

  void one_that_leads_no_more_is_not_believed() {
    dialer_->told.status.is_primary = false;
    begin(fleet());
    read_for(seconds(1));
    CPPUNIT_ASSERT(dialer_->told.questions > 0 && read_once());
  }

  void one_of_another_term_is_not_believed() {
    dialer_->told.status.term = 2;
    begin(fleet());
    read_for(seconds(1));
    CPPUNIT_ASSERT(dialer_->told.questions > 0 && read_once());
  }

  void an_answer_to_a_question_of_a_term_that_ended_is_not_believed() {
    dialer_->told.takes = milliseconds(200);
    begin(fleet());
    read_for(milliseconds(250));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("one is under way", 1, dialer_->told.questions);
    dialer_->told.takes = seconds(60);
    registry::FleetDelta delta;
    delta.revision = 2;
    delta.document_version = 1;
    delta.requires_keys = true;
    delta.terms = {{GroupName("group"), 2, BackendName("primary"), true, 3, 2}};
    view_->apply(delta);
    read_for(milliseconds(300));
    CPPUNIT_ASSERT(read_once());
  }

  void without_a_lease_nothing_is_learnt() {
    view_->apply(fleet());
    read_for(seconds(1));
    CPPUNIT_ASSERT(read_once());
    CPPUNIT_ASSERT_EQUAL(0, dialer_->told.questions);
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
  std::unique_ptr<PositionKeeper> keeper_;
  registry::RouteRule route_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PositionKeeperTest);

}  // namespace cairnhollow::registered::proxy
