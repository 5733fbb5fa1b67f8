// Tests that a tenant's limit is divided among many owners only if all proxies that accept work can do so.
#include <cppunit/extensions/HelperMacros.h>

#include "registered/proxy/fleet/fleet_view.h"
#include "registered/registry/proxy_incarnation.h"
#include "simulation/world.h"

namespace cairnhollow::registered::proxy {

namespace {

constexpr int kProxies = 12;

class NoDialer : public BackendDialer {
 public:
  Awaitable<std::shared_ptr<BackendLink>> open(BackendAddress /*address*/, TimePoint /*deadline*/,
                                               std::optional<Refusal>& /*refusal*/,
                                               Reason& /*reason*/) override {
    co_return nullptr;
  }
};

registry::AdmittedProxy proxy_number(int number, bool spreads_limits) {
  registry::AdmittedProxy proxy;
  proxy.node = NodeName("proxy-" + std::to_string(number));
  proxy.incarnation = registry::proxy_incarnation(0x1234567890ULL + 3ULL * number, spreads_limits);
  proxy.zone = ZoneName("zone-" + std::to_string(number % 3));
  proxy.peer_endpoint = {"10.0.0." + std::to_string(number + 1), 7000};
  return proxy;
}

}  // namespace

class SpreadLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SpreadLimitsTest);
  CPPUNIT_TEST(incarnation_says_whether_limits_are_spread);
  CPPUNIT_TEST(unknown_incarnation_spreads_nothing);
  CPPUNIT_TEST(tenant_has_many_owners_if_all_proxies_spread_limits);
  CPPUNIT_TEST(one_proxy_that_does_not_keeps_few_owners);
  CPPUNIT_TEST(leaving_proxy_does_not_count);
  CPPUNIT_TEST(cold_backend_keeps_few_owners);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    SessionProxySettings settings;
    settings.node = NodeName("proxy-0");
    settings.zone = ZoneName("zone-0");
    view_ = std::make_unique<FleetView>(world_->start_bare({"proxy-0", "10.0.0.1", ZoneName("zone-0")}),
                                        dialer_, settings);
    delta_.is_full = true;
    delta_.revision = 1;
    for (int number = 0; number < kProxies; ++number) delta_.proxies.push_back(proxy_number(number, true));
  }
  void tearDown() override {
    view_.reset();
    world_.reset();
  }

  void incarnation_says_whether_limits_are_spread() {
    for (const std::uint64_t random : {0ULL, 1ULL, 2ULL, 3ULL, ~0ULL}) {
      CPPUNIT_ASSERT(registry::proxy_incarnation(random, true) != 0);
      CPPUNIT_ASSERT(registry::spreads_limits(registry::proxy_incarnation(random, true)));
      CPPUNIT_ASSERT(!registry::spreads_limits(registry::proxy_incarnation(random, false)));
    }
  }

  void unknown_incarnation_spreads_nothing() { CPPUNIT_ASSERT(!registry::spreads_limits(0)); }

  void tenant_has_many_owners_if_all_proxies_spread_limits() {
    view_->apply(delta_);
    CPPUNIT_ASSERT_EQUAL(limits::kManyQuotaOwners, owners({limits::LimitKind::kTenant, "tenant"}));
  }

  void one_proxy_that_does_not_keeps_few_owners() {
    delta_.proxies[7] = proxy_number(7, false);
    view_->apply(delta_);
    CPPUNIT_ASSERT_EQUAL(limits::kQuotaOwners, owners({limits::LimitKind::kTenant, "tenant"}));
    // It is replaced by a process that does.
    registry::FleetDelta next;
    next.revision = 2;
    next.proxies = {proxy_number(7, true)};
    view_->apply(next);
    CPPUNIT_ASSERT_EQUAL(limits::kManyQuotaOwners, owners({limits::LimitKind::kTenant, "tenant"}));
  }

  void leaving_proxy_does_not_count() {
    delta_.proxies[7] = proxy_number(7, false);
    delta_.proxies[7].leaving = true;
    view_->apply(delta_);
    CPPUNIT_ASSERT_EQUAL(limits::kManyQuotaOwners, owners({limits::LimitKind::kTenant, "tenant"}));
  }

  void cold_backend_keeps_few_owners() {
    view_->apply(delta_);
    CPPUNIT_ASSERT_EQUAL(limits::kQuotaOwners, owners({limits::LimitKind::kColdBackend, "backend"}));
  }

 private:
  std::size_t owners(const limits::LimitKey& key) { return view_->quotas().owners().owners_of(key).size(); }

  std::unique_ptr<simulation::World> world_;
  NoDialer dialer_;
  std::unique_ptr<FleetView> view_;
  registry::FleetDelta delta_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpreadLimitsTest);

}  // namespace cairnhollow::registered::proxy
