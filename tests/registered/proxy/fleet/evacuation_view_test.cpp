// A proxy's copy of the fleet follows what control says of evacuated zones.
#include <cppunit/extensions/HelperMacros.h>

#include "registered/proxy/fleet/fleet_view.h"
#include "simulation/world.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class NoDialer : public BackendDialer {
 public:
  Awaitable<std::shared_ptr<BackendLink>> open(BackendAddress /*address*/, TimePoint /*deadline*/,
                                               std::optional<Refusal>& /*refusal*/,
                                               Reason& /*reason*/) override {
    co_return nullptr;
  }
};

registry::FleetDelta delta(bool is_full, std::uint64_t revision, std::vector<registry::Evacuation> begun,
                           std::vector<ZoneName> ended = {}) {
  registry::FleetDelta delta;
  delta.is_full = is_full;
  delta.revision = revision;
  delta.evacuations = std::move(begun);
  delta.ended_evacuations = std::move(ended);
  return delta;
}

}  // namespace

class EvacuationViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationViewTest);
  CPPUNIT_TEST(what_begins_and_ends_is_followed);
  CPPUNIT_TEST(a_whole_copy_replaces_all_and_keeps_the_moment);
  CPPUNIT_TEST(who_holds_a_lease_has_the_whole_time);
  CPPUNIT_TEST(who_hears_late_has_less_time);
  CPPUNIT_TEST(who_was_never_confirmed_has_no_time);
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

  void what_begins_and_ends_is_followed() {
    view_->apply(delta(false, 2, {{ZoneName("erie")}, {ZoneName("huron")}}));
    CPPUNIT_ASSERT(view_->evacuated().is_evacuated(ZoneName("erie")));
    view_->apply(delta(false, 3, {}, {ZoneName("erie")}));
    CPPUNIT_ASSERT(!view_->evacuated().is_evacuated(ZoneName("erie")));
    CPPUNIT_ASSERT(view_->evacuated().is_evacuated(ZoneName("huron")));
  }

  void a_whole_copy_replaces_all_and_keeps_the_moment() {
    confirm();
    view_->apply(delta(false, 2, {{ZoneName("erie")}, {ZoneName("huron")}}));
    world_->run_for(seconds(2));
    view_->apply(delta(true, 9, {{ZoneName("huron")}}));
    CPPUNIT_ASSERT(!view_->evacuated().is_evacuated(ZoneName("erie")));
    world_->run_for(seconds(1));
    CPPUNIT_ASSERT(view_->evacuated().is_off_limits(ZoneName("huron"), runtime_->now()));
  }

  void who_holds_a_lease_has_the_whole_time() {
    world_->run_for(seconds(20));
    confirm();
    world_->run_for(milliseconds(1400));
    view_->apply(delta(false, 2, {{ZoneName("erie")}}));
    world_->run_for(milliseconds(2400));
    CPPUNIT_ASSERT(!is_off_limits());
    world_->run_for(milliseconds(200));
    CPPUNIT_ASSERT(is_off_limits());
  }

  void who_hears_late_has_less_time() {
    confirm();
    world_->run_for(seconds(2));
    view_->apply(delta(false, 2, {{ZoneName("erie")}}));
    world_->run_for(milliseconds(1900));
    CPPUNIT_ASSERT_MESSAGE("the order may be as old as the lease's end", !is_off_limits());
    world_->run_for(milliseconds(200));
    CPPUNIT_ASSERT(is_off_limits());
    view_->apply(delta(false, 3, {}, {ZoneName("erie")}));
    confirm();
    world_->run_for(seconds(6));
    view_->apply(delta(true, 4, {{ZoneName("erie")}}));
    CPPUNIT_ASSERT_MESSAGE("of a whole copy as well", is_off_limits());
  }

  void who_was_never_confirmed_has_no_time() {
    view_->apply(delta(true, 2, {{ZoneName("erie")}}));
    CPPUNIT_ASSERT(is_off_limits());
  }

 private:
  void confirm() { view_->extend_lease(runtime_->now(), runtime_->now() + kLongestServingLease, 1); }
  [[nodiscard]] bool is_off_limits() const {
    return view_->evacuated().is_off_limits(ZoneName("erie"), runtime_->now());
  }

  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  NoDialer dialer_;
  std::unique_ptr<FleetView> view_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationViewTest);

}  // namespace cairnhollow::registered::proxy
