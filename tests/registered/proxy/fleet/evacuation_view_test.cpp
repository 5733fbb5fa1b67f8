// A zone under evacuation becomes off limits in time even if the proxy learned of the order late.
#include <cppunit/extensions/HelperMacros.h>

#include "registered/proxy/fleet/fleet_view.h"
#include "simulation/world.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class FailingDialer : public BackendDialer {
 public:
  Awaitable<std::shared_ptr<BackendLink>> open(BackendAddress /*address*/, TimePoint /*deadline*/,
                                               std::optional<Refusal>& /*refusal*/,
                                               Reason& /*reason*/) override {
    co_return nullptr;
  }
};

registry::FleetDelta delta(bool is_full, std::uint64_t revision, std::vector<registry::Evacuation> started,
                           std::vector<ZoneName> ended = {}) {
  registry::FleetDelta delta;
  delta.is_full = is_full;
  delta.revision = revision;
  delta.evacuations = std::move(started);
  delta.ended_evacuations = std::move(ended);
  return delta;
}

}  // namespace

class EvacuationViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationViewTest);
  CPPUNIT_TEST(applies_begin_and_end_of_evacuations);
  CPPUNIT_TEST(whole_copy_replaces_evacuations_and_keeps_start_times);
  CPPUNIT_TEST(grace_period_is_full_under_a_lease);
  CPPUNIT_TEST(grace_period_counts_from_end_of_last_lease);
  CPPUNIT_TEST(no_grace_period_without_any_confirmation);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    runtime_ = &world_->start_bare({"proxy", "10.0.0.1", ZoneName("a")});
    view_ = std::make_unique<FleetView>(*runtime_, dialer_, SessionProxySettings{});
  }
  void tearDown() override {
    view_.reset();
    world_.reset();
  }

  void applies_begin_and_end_of_evacuations() {
    view_->apply(delta(false, 2, {{ZoneName("erie")}, {ZoneName("huron")}}));
    CPPUNIT_ASSERT(view_->evacuated().is_evacuated(ZoneName("erie")));
    view_->apply(delta(false, 3, {}, {ZoneName("erie")}));
    CPPUNIT_ASSERT(!view_->evacuated().is_evacuated(ZoneName("erie")));
    CPPUNIT_ASSERT(view_->evacuated().is_evacuated(ZoneName("huron")));
  }

  void whole_copy_replaces_evacuations_and_keeps_start_times() {
    confirm();
    view_->apply(delta(false, 2, {{ZoneName("erie")}, {ZoneName("huron")}}));
    world_->run_for(seconds(2));
    view_->apply(delta(true, 9, {{ZoneName("huron")}}));
    CPPUNIT_ASSERT(!view_->evacuated().is_evacuated(ZoneName("erie")));
    world_->run_for(seconds(1));
    CPPUNIT_ASSERT(view_->evacuated().is_off_limits(ZoneName("huron"), runtime_->now()));
  }

  void grace_period_is_full_under_a_lease() {
    world_->run_for(seconds(20));
    confirm();
    world_->run_for(milliseconds(1400));
    view_->apply(delta(false, 2, {{ZoneName("erie")}}));
    world_->run_for(milliseconds(2400));
    CPPUNIT_ASSERT(!is_off_limits());
    world_->run_for(milliseconds(200));
    CPPUNIT_ASSERT(is_off_limits());
  }

  void grace_period_counts_from_end_of_last_lease() {
    confirm();
    world_->run_for(seconds(2));
    view_->apply(delta(false, 2, {{ZoneName("erie")}}));
    world_->run_for(milliseconds(1900));
    CPPUNIT_ASSERT_MESSAGE("the order may date from the end of the lease", !is_off_limits());
    world_->run_for(milliseconds(200));
    CPPUNIT_ASSERT(is_off_limits());
    view_->apply(delta(false, 3, {}, {ZoneName("erie")}));
    confirm();
    world_->run_for(seconds(6));
    view_->apply(delta(true, 4, {{ZoneName("erie")}}));
    CPPUNIT_ASSERT_MESSAGE("the same for an order in a whole copy", is_off_limits());
  }

  void no_grace_period_without_any_confirmation() {
    view_->apply(delta(true, 2, {{ZoneName("erie")}}));
    CPPUNIT_ASSERT(is_off_limits());
  }

 private:
  void confirm() { view_->extend_lease(runtime_->now(), runtime_->now() + kMaxServingLease, 1); }
  [[nodiscard]] bool is_off_limits() const {
    return view_->evacuated().is_off_limits(ZoneName("erie"), runtime_->now());
  }

  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  FailingDialer dialer_;
  std::unique_ptr<FleetView> view_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationViewTest);

}  // namespace cairnhollow::registered::proxy
