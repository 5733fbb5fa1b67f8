// Tests that, summed over all proxies, no more statements per second are sent to a cold backend than its
// limit allows, despite failures of proxies, control and the network.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <string>

#include "registered/proxy/links/cold_backend.h"
#include "tests/registered/limits/limit_play.h"

namespace cairnhollow::registered::limits {

namespace {

using fleet_model::Guards;
using fleet_model::seeds;
using fleet_model::with_short_lease;
using fleet_model::worst_usage;

const LimitWindow kUsual{proxy::kColdWindow, 0.5, 5};
/// Leaves each owner a bucket depth of one token.
const LimitWindow kTight{proxy::kColdWindow, 0.25, 3};

Limit cold(double rate, const LimitWindow& window = kUsual) {
  return proxy::cold_limit(BackendName("db-1"), rate, window);
}

}  // namespace

class ColdBackendLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdBackendLimitTest);
  CPPUNIT_TEST(limit_holds_in_every_second);
  CPPUNIT_TEST(limit_is_exceeded_without_any_guard);
  CPPUNIT_TEST(owner_shares_fit_into_allowance);
  CPPUNIT_TEST(bucket_holds_one_token_if_allowance_suffices);
  CPPUNIT_TEST(counts_tenant_and_backend_of_same_name_separately);
  CPPUNIT_TEST_SUITE_END();

 public:
  void limit_holds_in_every_second() {
    for (const double rate : {1.0, 6.0, 20.0, 60.0}) {
      const double worst = worst_usage(seeds() / 2, {}, cold(rate));
      CPPUNIT_ASSERT_MESSAGE(fmt::format("rate {}: {} of the allowance", rate, worst), worst <= 1.0);
      // At a rate of 1, three buckets of depth 1.75 grant three tokens, and the allowance is 6.5.
      CPPUNIT_ASSERT_MESSAGE(fmt::format("rate {}: the load is too low to reach the limit, {}", rate, worst),
                             worst > 0.45);
    }
    const double tight = worst_usage(seeds(), {}, cold(60, kTight));
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} of the allowance", tight), tight <= 1.0);
    const double short_lease = worst_usage(seeds(), with_short_lease(4), cold(60, kTight));
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} of the allowance with a short lease", short_lease),
                           short_lease <= 1.0);
  }

  void limit_is_exceeded_without_any_guard() {
    const auto expect_exceeded_without = [](const std::string& name, bool Guards::*guard, const Limit& limit,
                                            Guards guards = {}) {
      guards.*guard = false;
      const double worst = worst_usage(400, guards, limit);
      CPPUNIT_ASSERT_MESSAGE(fmt::format("{}: {} of the allowance", name, worst), worst > 1.0);
    };
    const Limit tight = cold(60, kTight);
    expect_exceeded_without("waits for a stable revision", &Guards::waits_for_stable_revision, tight);
    expect_exceeded_without("stops without confirmation", &Guards::stops_without_confirmation, tight);
    expect_exceeded_without("a returning owner starts anew", &Guards::returning_owner_starts_anew, tight,
                            with_short_lease(1));
    // With a bucket depth of one token, no tokens are granted in advance, so none could expire.
    expect_exceeded_without("tokens expire", &Guards::tokens_expire, cold(6));
  }

  void owner_shares_fit_into_allowance() {
    for (const double rate : {0.5, 3.0, 12.5, 80.0}) {
      for (const LimitWindow& window :
           {kUsual, kTight, LimitWindow{proxy::kColdWindow, 0, 4}, LimitWindow{proxy::kColdWindow, -1, 5}}) {
        const Limit limit = cold(rate, window);
        const OwnerShare share = owner_share(limit);
        const double most = kQuotaOwners * (share.rate_per_s * 1.25 + share.depth);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("rate {}: {} of {}", rate, most, allowance(limit)),
                               most <= allowance(limit) + 1e-9);
      }
    }
  }

  void bucket_holds_one_token_if_allowance_suffices() {
    const OwnerShare usual = owner_share(cold(3));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, usual.rate_per_s, 1e-9);
    CPPUNIT_ASSERT(usual.depth >= 1);
    const OwnerShare lowered = owner_share(cold(40, {proxy::kColdWindow, 0, 0}));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, lowered.depth, 1e-9);
    CPPUNIT_ASSERT(lowered.rate_per_s * kQuotaOwners > 29);
    const OwnerShare nothing = owner_share(cold(2, {proxy::kColdWindow, 0, 0}));
    CPPUNIT_ASSERT_EQUAL(0.0, nothing.rate_per_s);
    CPPUNIT_ASSERT_MESSAGE("an allowance of two statements cannot be divided among three owners",
                           nothing.depth < 1);
  }

  void counts_tenant_and_backend_of_same_name_separately() {
    const LimitKey tenant{LimitKind::kTenant, "one"};
    const LimitKey backend{LimitKind::kColdBackend, "one"};
    const auto proxy =
        std::make_shared<subset::ProxyView>(subset::ProxyView{NodeName("p"), ZoneName("a"), {"10.0.0.1", 1}});
    QuotaLedger owner(NodeName("p"));
    owner.set_owners(QuotaOwners({proxy}, {proxy}), 1);
    owner.record_confirmed(TimePoint(fleet_model::seconds(10)), 1, TimePoint(fleet_model::seconds(10)));
    const TimePoint later(fleet_model::seconds(12));
    const Limit tenant_limit{tenant, 3, 0, kUsual};
    const Limit backend_limit{backend, 3, 0, kUsual};
    CPPUNIT_ASSERT(owner.grant(tenant_limit, {1, 0}, later).outcome == GrantOutcome::kGranted);
    CPPUNIT_ASSERT(owner.grant(tenant_limit, {1, 0}, later).outcome == GrantOutcome::kEmpty);
    CPPUNIT_ASSERT(owner.grant(backend_limit, {1, 0}, later).outcome == GrantOutcome::kGranted);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdBackendLimitTest);

}  // namespace cairnhollow::registered::limits
