// Tests that no window sees more operations of a tenant than its limit allows, despite failures of proxies,
// control and the network. The load is many times the limit, so that every token granted in excess is used.
#include "registered/limits/quota_ledger.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <vector>

#include "registered/limits/token_bucket.h"
#include "tests/registered/limits/limit_play.h"

namespace cairnhollow::registered::limits {

namespace {

using fleet_model::Guards;
using fleet_model::seeds;
using fleet_model::with_short_lease;
using fleet_model::worst_usage;
using std::chrono::milliseconds;
using std::chrono::seconds;

Limit tenant_of(std::uint64_t rate, std::uint64_t burst, LimitWindow window = {}) {
  return {{LimitKind::kTenant, "tenant"}, static_cast<double>(rate), static_cast<double>(burst), window};
}

Guards spreading(double probability) {
  Guards guards;
  guards.nodes = 13;
  guards.loses_most = true;
  guards.spreads_limits = probability;
  return guards;
}

/// Proxies with numbers as names.
std::vector<subset::ProxyPointer> proxies_in_three_zones(int count) {
  std::vector<subset::ProxyPointer> proxies;
  for (int index = 0; index < count; ++index) {
    const ZoneName zone(fmt::format("zone-{}", index % 3));
    proxies.push_back(std::make_shared<subset::ProxyView>(
        subset::ProxyView{NodeName(std::to_string(index)), zone, {"10.0.0.1", 1}}));
  }
  return proxies;
}

/// No tolerance above the rate and the burst.
const LimitWindow kStrict{seconds(5), 0, 0};

}  // namespace

class QuotaLedgerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaLedgerTest);
  CPPUNIT_TEST(limit_holds_in_every_window);
  CPPUNIT_TEST(limit_holds_for_low_rates);
  CPPUNIT_TEST(limit_holds_when_most_are_lost);
  CPPUNIT_TEST(limit_holds_with_many_owners);
  CPPUNIT_TEST(limit_holds_while_number_of_owners_changes);
  CPPUNIT_TEST(larger_part_waits_like_a_new_owner);
  CPPUNIT_TEST(many_owners_keep_part_of_rate_that_survives);
  CPPUNIT_TEST(limit_is_exceeded_without_any_guard);
  CPPUNIT_TEST(returning_owner_waits_like_a_new_one);
  CPPUNIT_TEST(owner_stops_without_confirmation);
  CPPUNIT_TEST(waits_for_silent_incarnation);
  CPPUNIT_TEST(unauthorized_owner_estimates_its_wait);
  CPPUNIT_TEST(returned_token_keeps_its_expiry);
  CPPUNIT_TEST(owners_together_grant_full_rate_and_burst);
  CPPUNIT_TEST(two_of_three_owners_grant_two_thirds);
  CPPUNIT_TEST(owner_shares_add_up_to_allowance);
  CPPUNIT_TEST_SUITE_END();

 public:
  void limit_holds_in_every_window() {
    const double worst = worst_usage(seeds(), {}, tenant_of(117, 117));
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} of the allowance", worst), worst <= 1.0);
    CPPUNIT_ASSERT_MESSAGE("the load is too low to reach the limit", worst > 0.7);
    const double strict = worst_usage(seeds(), {}, tenant_of(120, 60, kStrict));
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} of the allowance without tolerance", strict), strict <= 1.0);
    const double short_lease = worst_usage(seeds(), with_short_lease(4), tenant_of(120, 60, kStrict));
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} of the allowance with a short lease", short_lease),
                           short_lease <= 1.0);
  }

  void limit_holds_for_low_rates() {
    for (const std::uint64_t rate : {1, 5, 12}) {
      const double worst = worst_usage(seeds() / 4, {}, tenant_of(rate, rate));
      CPPUNIT_ASSERT_MESSAGE(fmt::format("rate {}: {} of the allowance", rate, worst), worst <= 1.0);
    }
  }

  void limit_holds_with_many_owners() {
    for (const Limit& limit : {tenant_of(117, 117), tenant_of(120, 60, kStrict)}) {
      const double worst = worst_usage(seeds() / 2, spreading(1.0), limit);
      CPPUNIT_ASSERT_MESSAGE(fmt::format("rate {}: {} of the allowance", limit.rate_per_s, worst),
                             worst <= 1.0);
      CPPUNIT_ASSERT_MESSAGE(fmt::format("rate {}: the load is too low, {}", limit.rate_per_s, worst),
                             worst > 0.6);
    }
    const double low = worst_usage(seeds() / 4, spreading(1.0), tenant_of(8, 8));
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} of the allowance at a low rate", low), low <= 1.0);
  }

  void limit_holds_when_most_are_lost() {
    Guards guards;
    guards.loses_most = true;
    const double worst = worst_usage(seeds(), guards, tenant_of(120, 60, kStrict));
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} of the allowance", worst), worst <= 1.0);
    for (const double spread : {0.0, 1.0}) {
      Guards large = spreading(spread);
      large.nodes = 24;
      large.lease = milliseconds(400);
      const double in_large = worst_usage(seeds(), large, tenant_of(120, 60, kStrict));
      CPPUNIT_ASSERT_MESSAGE(fmt::format("spread {}: {} of the allowance", spread, in_large),
                             in_large <= 1.0);
      for (bool Guards::*guard : {&Guards::waits_for_stable_revision, &Guards::stops_without_confirmation}) {
        Guards broken = large;
        broken.*guard = false;
        const double exceeded = worst_usage(400, broken, tenant_of(120, 60, kStrict));
        CPPUNIT_ASSERT_MESSAGE(fmt::format("spread {}: {} of the allowance", spread, exceeded),
                               exceeded > 1.0);
      }
    }
  }

  void limit_holds_while_number_of_owners_changes() {
    for (const double spread : {0.8, 0.95}) {
      const double worst = worst_usage(seeds(), spreading(spread), tenant_of(120, 60, kStrict));
      CPPUNIT_ASSERT_MESSAGE(fmt::format("{} of the allowance", worst), worst <= 1.0);
    }
  }

  void larger_part_waits_like_a_new_owner() {
    const std::vector<subset::ProxyPointer> proxies = proxies_in_three_zones(12);
    const Limit tenant = tenant_of(90, 90);
    // An owner with few as well as with many owners.
    const NodeName node = QuotaOwners(proxies, {}, kQuotaOwners).owners_of(tenant.key).front()->name;
    QuotaLedger owner(node);
    TimePoint now{seconds(10)};
    const auto confirm = [&](std::uint64_t stable) { owner.record_confirmed(now, stable, now); };
    const auto granted_in_a_second = [&] {
      std::uint64_t granted = 0;
      for (int tick = 0; tick < 100; ++tick) {
        now += milliseconds(10);
        granted += owner.grant(tenant, {5, 0}, now).tokens;
      }
      return granted;
    };
    owner.set_owners(QuotaOwners(proxies, proxies, kManyQuotaOwners), 1);
    confirm(1);
    granted_in_a_second();
    CPPUNIT_ASSERT(granted_in_a_second() <= 11);
    owner.set_owners(QuotaOwners(proxies, {}, kQuotaOwners), 2);
    CPPUNIT_ASSERT_MESSAGE("others may still grant their smaller parts",
                           owner.grant(tenant, {1, 0}, now).outcome == GrantOutcome::kNotAuthorized);
    confirm(2);
    granted_in_a_second();
    CPPUNIT_ASSERT(granted_in_a_second() >= 29);
    owner.set_owners(QuotaOwners(proxies, {}, kManyQuotaOwners), 3);
    CPPUNIT_ASSERT_MESSAGE("a smaller part counts at once", granted_in_a_second() <= 11 + 30);
    CPPUNIT_ASSERT(granted_in_a_second() <= 11);
  }

  void many_owners_keep_part_of_rate_that_survives() {
    // Of 69 proxies, three quarters are lost at once. Counts the tenants that keep an owner.
    const std::vector<subset::ProxyPointer> proxies = proxies_in_three_zones(69);
    const auto tenants_with_owner = [&](std::size_t owners) {
      int kept = 0;
      for (int index = 0; index < 400; ++index) {
        const LimitKey key{LimitKind::kTenant, fmt::format("tenant-{}", index)};
        const QuotaOwners all(proxies, {}, owners);
        const auto& chosen = all.owners_of(key);
        CPPUNIT_ASSERT_EQUAL(owners, chosen.size());
        const bool any_survives = std::any_of(chosen.begin(), chosen.end(), [](const auto& proxy) {
          return std::stoi(proxy->name.value) % 4 == 0;
        });
        kept += any_survives ? 1 : 0;
      }
      return kept;
    };
    CPPUNIT_ASSERT(tenants_with_owner(kQuotaOwners) < 280);
    CPPUNIT_ASSERT(tenants_with_owner(kManyQuotaOwners) > 360);
  }

  void limit_is_exceeded_without_any_guard() {
    const auto expect_exceeded_without = [](const std::string& name, bool Guards::*guard,
                                            LimitWindow window = kStrict, Guards guards = {}) {
      guards.*guard = false;
      const std::uint64_t burst = window.slack > 0 ? 120 : 60;
      const double worst = worst_usage(400, guards, tenant_of(120, burst, window));
      CPPUNIT_ASSERT_MESSAGE(fmt::format("{}: {} of the allowance", name, worst), worst > 1.0);
    };
    expect_exceeded_without("waits for a stable revision", &Guards::waits_for_stable_revision);
    expect_exceeded_without("stops without confirmation", &Guards::stops_without_confirmation);
    expect_exceeded_without("bucket starts empty", &Guards::bucket_starts_empty, {});
    expect_exceeded_without("a returning owner starts anew", &Guards::returning_owner_starts_anew, kStrict,
                            with_short_lease(1));
  }

  void returning_owner_waits_like_a_new_one() {
    const auto proxy = std::make_shared<subset::ProxyView>(
        subset::ProxyView{NodeName("home"), ZoneName("a"), {"10.0.0.1", 1}});
    QuotaLedger owner(NodeName("home"));
    TimePoint now{seconds(10)};
    const auto outcome = [&] { return owner.grant(tenant_of(100, 100), {1, 0}, now).outcome; };
    owner.set_owners(QuotaOwners({proxy}, {proxy}), 1);
    owner.record_confirmed(now, 1, now);
    now += seconds(1);
    CPPUNIT_ASSERT(outcome() == GrantOutcome::kGranted);
    // Other proxies joined; it remained an owner throughout.
    owner.set_owners(QuotaOwners({proxy}, {}), 2);
    CPPUNIT_ASSERT(outcome() == GrantOutcome::kGranted);
    // It was no owner for a while, and others may still grant in its place.
    owner.set_owners(QuotaOwners({proxy}, {proxy}), 4);
    CPPUNIT_ASSERT(outcome() == GrantOutcome::kNotAuthorized);
    owner.record_confirmed(now, 3, now);
    CPPUNIT_ASSERT(outcome() == GrantOutcome::kNotAuthorized);
    owner.record_confirmed(now, 4, now);
    now += seconds(1);
    CPPUNIT_ASSERT(outcome() == GrantOutcome::kGranted);
  }

  void owner_stops_without_confirmation() {
    const auto proxy = std::make_shared<subset::ProxyView>(
        subset::ProxyView{NodeName("home"), ZoneName("a"), {"10.0.0.1", 1}});
    QuotaLedger owner(NodeName("home"));
    const TimePoint asked{seconds(10)};
    const auto outcome = [&](TimePoint now) { return owner.grant(tenant_of(100, 100), {1, 0}, now).outcome; };
    owner.set_owners(QuotaOwners({proxy}, {proxy}), 1);
    owner.record_confirmed(asked, 1, asked + milliseconds(200));
    const TimePoint end = asked + registry::kBudgetAuthority;
    CPPUNIT_ASSERT(outcome(end - milliseconds(1)) == GrantOutcome::kGranted);
    CPPUNIT_ASSERT_MESSAGE("counted from the request", outcome(end) == GrantOutcome::kNotAuthorized);
    owner.record_confirmed(end, 1, end);
    CPPUNIT_ASSERT(outcome(end) == GrantOutcome::kGranted);
  }

  void waits_for_silent_incarnation() {
    const TimePoint now{seconds(10)};
    const registry::ProxyRevision knows{12, now + seconds(2)};
    const registry::ProxyRevision silent{0, now + seconds(1)};
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, registry::stable_revision({knows}, 15, now));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, registry::stable_revision({knows, silent}, 15, now));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, registry::stable_revision({knows, silent}, 15, now + seconds(2)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{15}, registry::stable_revision({knows, silent}, 15, now + seconds(3)));
  }

  void unauthorized_owner_estimates_its_wait() {
    const auto proxy_named = [](const std::string& name) {
      return std::make_shared<subset::ProxyView>(
          subset::ProxyView{NodeName(name), ZoneName("a"), {"10.0.0.1", 1}});
    };
    const auto home = proxy_named("home");
    QuotaLedger owner(NodeName("home"));
    TimePoint now{seconds(10)};
    const auto wait = [&] {
      const Grant grant = owner.grant(tenant_of(100, 100), {1, 0}, now);
      CPPUNIT_ASSERT(grant.outcome == GrantOutcome::kNotAuthorized);
      return grant.retry_after;
    };
    owner.set_owners(QuotaOwners({home}, {home}), 1);
    owner.record_confirmed(now, 0, now);
    CPPUNIT_ASSERT_MESSAGE("nothing is known when only proxies joined", wait() == Duration(0));
    owner.set_owners(QuotaOwners({home}, {home, proxy_named("gone")}), 2);
    owner.record_confirmed(now, 0, now);
    CPPUNIT_ASSERT(wait() == kDepartureWait);
    now += milliseconds(500);
    // Another membership change does not shorten the wait, and another departure does not prolong it.
    owner.set_owners(QuotaOwners({home}, {proxy_named("other")}), 3);
    owner.record_confirmed(now, 0, now);
    CPPUNIT_ASSERT(wait() == kDepartureWait - milliseconds(500));
    now += kDepartureWait;
    CPPUNIT_ASSERT(wait() == Duration(0));
    now += registry::kBudgetAuthority;
    CPPUNIT_ASSERT_MESSAGE("control is out of reach", wait() == kAuthorityUnlikely);
    owner.record_confirmed(now, 3, now);
    CPPUNIT_ASSERT(owner.grant(tenant_of(100, 100), {1, 0}, now).outcome == GrantOutcome::kEmpty);
    now += seconds(1);
    CPPUNIT_ASSERT(owner.grant(tenant_of(100, 100), {1, 0}, now).outcome == GrantOutcome::kGranted);
  }

  void returned_token_keeps_its_expiry() {
    const TimePoint asked{seconds(10)};
    TokenCache cache;
    cache.add(2, asked);
    const auto taken = cache.take(asked + kTokenLifetime - milliseconds(1));
    CPPUNIT_ASSERT(taken == asked + kTokenLifetime);
    cache.return_unused(*taken);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cache.size());
    CPPUNIT_ASSERT(!cache.take(asked + kTokenLifetime));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cache.size());
  }

  void owners_together_grant_full_rate_and_burst() {
    // Without faults, the owners together grant what one bucket of the full rate and burst would.
    const Limit tenant = tenant_of(30, 30);
    std::vector<TokenBucket> buckets(kQuotaOwners, TokenBucket(TimePoint{}));
    const OwnerShare share = owner_share(tenant);
    TimePoint now = TimePoint(seconds(30));
    std::uint64_t granted = 0;
    for (int tick = 0; tick < 1000; ++tick) {
      now += milliseconds(10);
      for (TokenBucket& bucket : buckets) granted += bucket.take(10, share, now);
    }
    CPPUNIT_ASSERT(granted >= 30 * 10 + 30);
  }

  void two_of_three_owners_grant_two_thirds() {
    const OwnerShare share = owner_share(tenant_of(90, 90));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(60.0, share.rate_per_s * 2, 1e-9);
  }

  void owner_shares_add_up_to_allowance() {
    for (const std::uint64_t rate : {5, 117, 900}) {
      const Limit tenant = tenant_of(rate, rate);
      const OwnerShare share = owner_share(tenant);
      const double in_window = 5.25 * share.rate_per_s * kQuotaOwners + share.depth * kQuotaOwners;
      CPPUNIT_ASSERT(in_window <= allowance(tenant) + 1e-6);
      CPPUNIT_ASSERT_MESSAGE("the total depth is at least the configured burst",
                             share.depth * kQuotaOwners >= static_cast<double>(rate));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaLedgerTest);

}  // namespace cairnhollow::registered::limits
