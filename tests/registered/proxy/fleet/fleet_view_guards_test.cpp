// A leaving proxy is sent nothing, and a primary is used only under a lease for its epoch and incarnation.
#include "registered/proxy/fleet/fleet_view.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "tests/registered/proxy/session_stand.h"

namespace cairnhollow::registered::proxy {

class FleetViewGuardsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetViewGuardsTest);
  CPPUNIT_TEST(forwards_nothing_to_leaving_proxy);
  CPPUNIT_TEST(uses_primary_only_under_lease_for_its_epoch);
  CPPUNIT_TEST(does_not_use_restarted_primary);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { stand_ = std::make_unique<SessionStand>(); }
  void tearDown() override { stand_.reset(); }

  void forwards_nothing_to_leaving_proxy() {
    put_proxy("other", false);
    CPPUNIT_ASSERT(is_target("other"));
    put_proxy("other", true);
    CPPUNIT_ASSERT(!is_target("other"));
  }

  void uses_primary_only_under_lease_for_its_epoch() {
    FleetView& view = stand_->view();
    const GroupAccess& group = *stand_->group();
    const registry::GroupEpoch epoch = group.epoch();
    const registry::GroupEpoch next{epoch.group, epoch.epoch + 1};
    CPPUNIT_ASSERT_MESSAGE("without a lease", !view.may_use_primary(group, epoch));
    stand_->confirm(std::chrono::seconds(1), std::chrono::seconds(1));
    CPPUNIT_ASSERT(view.may_use_primary(group, epoch));
    CPPUNIT_ASSERT_MESSAGE("for another epoch", !view.may_use_primary(group, next));
    const registry::GroupEpoch other{GroupName("other"), epoch.epoch};
    CPPUNIT_ASSERT_MESSAGE("for the same epoch of another group", !view.may_use_primary(group, other));
    stand_->close_group();
    CPPUNIT_ASSERT_MESSAGE("for a closed group", !view.may_use_primary(group, next));
  }

  void does_not_use_restarted_primary() {
    const GroupAccess& group = *stand_->group();
    registry::FleetDelta restarted = stand_->delta();
    restarted.terms = {group.term()};
    restarted.terms[0].primary_start_time_ms = 1000;
    stand_->view().apply(restarted);
    set_primary_birth(1000);
    stand_->confirm(std::chrono::seconds(1), std::chrono::seconds(1));
    CPPUNIT_ASSERT(stand_->view().may_use_primary(group, group.epoch()));
    set_primary_birth(2000);
    CPPUNIT_ASSERT(!stand_->view().may_use_primary(group, group.epoch()));
  }

 private:
  void set_primary_birth(std::uint64_t start_time_ms) {
    registry::FleetDelta delta = stand_->delta();
    delta.backends = {*stand_->view().find_backend(BackendName(SessionStand::kPrimary))};
    delta.backends[0].start_time_ms = start_time_ms;
    stand_->view().apply(delta);
  }
  void put_proxy(const std::string& name, bool leaving) {
    registry::FleetDelta delta = stand_->delta();
    delta.proxies = {{NodeName(name), 1, ZoneName("a"), {"10.0.0.2", 7440}, leaving}};
    stand_->view().apply(delta);
  }
  [[nodiscard]] bool is_target(const std::string& name) {
    const auto holds = [&](const std::vector<subset::ProxyPointer>& proxies) {
      return std::any_of(proxies.begin(), proxies.end(),
                         [&](const subset::ProxyPointer& proxy) { return proxy->name.value == name; });
    };
    return holds(stand_->view().other_proxies()) || holds(stand_->view().also_serving(GroupName("group")));
  }

  std::unique_ptr<SessionStand> stand_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetViewGuardsTest);

}  // namespace cairnhollow::registered::proxy
