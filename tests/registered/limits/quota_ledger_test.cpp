// Limits over all proxies: whatever happens to proxies, control and the paths between them, no window sees
// more operations of a tenant than the operator allows. A tenant at many times its limit asks all the time,
// which is the load that tells: every token that two proxies grant for one is used.
#include "registered/limits/quota_ledger.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <string>
#include <vector>

#include "registered/limits/token_bucket.h"
#include "tests/registered/limits/limit_play.h"

namespace cairnhollow::registered::limits {

namespace {

using play::Guards;
using play::seeds;
using play::with_short_lease;
using play::worst_of;
using std::chrono::milliseconds;
using std::chrono::seconds;

Limit tenant_of(std::uint64_t rate, std::uint64_t burst, LimitWindow window = {}) {
  return {{LimitedKind::kTenant, "tenant"}, static_cast<double>(rate), static_cast<double>(burst), window};
}

/// Nothing is left over for what goes wrong.
const LimitWindow kStrict{seconds(5), 0, 0};

}  // namespace

class QuotaLedgerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaLedgerTest);
  CPPUNIT_TEST(no_window_sees_more_than_is_allowed);
  CPPUNIT_TEST(thin_tenants_are_bounded_alike);
  CPPUNIT_TEST(each_guard_is_needed);
  CPPUNIT_TEST(a_home_that_returns_waits_like_a_new_one);
  CPPUNIT_TEST(a_home_stops_when_control_was_not_heard_for_long);
  CPPUNIT_TEST(a_incarnation_that_said_nothing_is_waited_for);
  CPPUNIT_TEST(a_token_expires_also_when_it_was_given_back);
  CPPUNIT_TEST(a_calm_fleet_gives_the_whole_rate);
  CPPUNIT_TEST(two_homes_of_three_give_two_thirds);
  CPPUNIT_TEST(the_part_of_a_home_adds_up);
  CPPUNIT_TEST_SUITE_END();

 public:
  void no_window_sees_more_than_is_allowed() {
    const double worst = worst_of(seeds(), {}, tenant_of(117, 117));
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} of what is allowed", worst), worst <= 1.0);
    CPPUNIT_ASSERT_MESSAGE("the load presses", worst > 0.7);
    const double strict = worst_of(seeds(), {}, tenant_of(120, 60, kStrict));
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} of what is strictly allowed", strict), strict <= 1.0);
    const double short_lease = worst_of(seeds(), with_short_lease(4), tenant_of(120, 60, kStrict));
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} with a short lease", short_lease), short_lease <= 1.0);
  }

  void thin_tenants_are_bounded_alike() {
    for (const std::uint64_t rate : {1, 5, 12}) {
      const double worst = worst_of(seeds() / 4, {}, tenant_of(rate, rate));
      CPPUNIT_ASSERT_MESSAGE(fmt::format("rate {}: {} of what is allowed", rate, worst), worst <= 1.0);
    }
  }

  void each_guard_is_needed() {
    const auto expect_needed = [](const std::string& name, bool Guards::*guard, LimitWindow window = kStrict,
                                  Guards guards = {}) {
      guards.*guard = false;
      const std::uint64_t burst = window.slack > 0 ? 120 : 60;
      const double worst = worst_of(400, guards, tenant_of(120, burst, window));
      CPPUNIT_ASSERT_MESSAGE(fmt::format("{}: {} of what is allowed", name, worst), worst > 1.0);
    };
    expect_needed("waits until settled", &Guards::waits_until_settled);
    expect_needed("authority ends", &Guards::authority_ends);
    expect_needed("bucket starts empty", &Guards::bucket_starts_empty, {});
    expect_needed("returning owner is new", &Guards::returning_home_is_new, kStrict, with_short_lease(1));
  }

  void a_home_that_returns_waits_like_a_new_one() {
    const auto proxy = std::make_shared<subset::ProxyView>(
        subset::ProxyView{NodeName("home"), ZoneName("a"), {"10.0.0.1", 1}});
    QuotaLedger owner(NodeName("home"));
    TimePoint now{seconds(10)};
    const auto outcome = [&] { return owner.grant(tenant_of(100, 100), {1, 0}, now).outcome; };
    owner.set_owners(QuotaOwners({proxy}, {proxy}), 1);
    owner.record_confirmed(now, 1, now);
    now += seconds(1);
    CPPUNIT_ASSERT(outcome() == GrantOutcome::kGranted);
    // Others came, and it stayed an owner all the time.
    owner.set_owners(QuotaOwners({proxy}, {}), 2);
    CPPUNIT_ASSERT(outcome() == GrantOutcome::kGranted);
    // It was none for a while, and others may count in its place.
    owner.set_owners(QuotaOwners({proxy}, {proxy}), 4);
    CPPUNIT_ASSERT(outcome() == GrantOutcome::kNotCounting);
    owner.record_confirmed(now, 3, now);
    CPPUNIT_ASSERT(outcome() == GrantOutcome::kNotCounting);
    owner.record_confirmed(now, 4, now);
    now += seconds(1);
    CPPUNIT_ASSERT(outcome() == GrantOutcome::kGranted);
  }

  void a_home_stops_when_control_was_not_heard_for_long() {
    const auto proxy = std::make_shared<subset::ProxyView>(
        subset::ProxyView{NodeName("home"), ZoneName("a"), {"10.0.0.1", 1}});
    QuotaLedger owner(NodeName("home"));
    const TimePoint asked{seconds(10)};
    const auto outcome = [&](TimePoint now) { return owner.grant(tenant_of(100, 100), {1, 0}, now).outcome; };
    owner.set_owners(QuotaOwners({proxy}, {proxy}), 1);
    owner.record_confirmed(asked, 1, asked + milliseconds(200));
    const TimePoint end = asked + registry::kBudgetAuthority;
    CPPUNIT_ASSERT(outcome(end - milliseconds(1)) == GrantOutcome::kGranted);
    CPPUNIT_ASSERT_MESSAGE("counted from the question", outcome(end) == GrantOutcome::kNotCounting);
    owner.record_confirmed(end, 1, end);
    CPPUNIT_ASSERT(outcome(end) == GrantOutcome::kGranted);
  }

  void a_incarnation_that_said_nothing_is_waited_for() {
    const TimePoint now{seconds(10)};
    const registry::ProxyRevision knows{12, now + seconds(2)};
    const registry::ProxyRevision silent{0, now + seconds(1)};
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, registry::stable_revision({knows}, 15, now));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, registry::stable_revision({knows, silent}, 15, now));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, registry::stable_revision({knows, silent}, 15, now + seconds(2)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{15}, registry::stable_revision({knows, silent}, 15, now + seconds(3)));
  }

  void a_token_expires_also_when_it_was_given_back() {
    const TimePoint asked{seconds(10)};
    TokenStock stock;
    stock.put(2, asked);
    const auto taken = stock.take(asked + kGrantLife - milliseconds(1));
    CPPUNIT_ASSERT(taken == asked + kGrantLife);
    stock.give_back(*taken);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, stock.size());
    CPPUNIT_ASSERT(!stock.take(asked + kGrantLife));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, stock.size());
  }

  void a_calm_fleet_gives_the_whole_rate() {
    // Owners that nobody disturbs: what one bucket of the whole rate and burst lets through.
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

  void two_homes_of_three_give_two_thirds() {
    const OwnerShare share = owner_share(tenant_of(90, 90));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(60.0, share.rate_per_s * 2, 1e-9);
  }

  void the_part_of_a_home_adds_up() {
    for (const std::uint64_t rate : {5, 117, 900}) {
      const Limit tenant = tenant_of(rate, rate);
      const OwnerShare share = owner_share(tenant);
      const double in_window = 5.25 * share.rate_per_s * kQuotaOwners + share.depth * kQuotaOwners;
      CPPUNIT_ASSERT(in_window <= allowance(tenant) + 1e-6);
      CPPUNIT_ASSERT_MESSAGE("no less than the operator's burst",
                             share.depth * kQuotaOwners >= static_cast<double>(rate));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaLedgerTest);

}  // namespace cairnhollow::registered::limits
