// Placement decisions for each state of the lease, the group, the backends and the other proxies.
#include "registered/placement/placement.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>
#include <vector>

namespace cairnhollow::registered::placement {
namespace {

using std::chrono::milliseconds;

constexpr Duration kRetryAfter = milliseconds(300);

/// Holds a lease, and the group has a primary.
ProxyFacts healthy() {
  ProxyFacts facts;
  facts.holds_lease = true;
  facts.group_open = true;
  return facts;
}

template <class Facts, class Change>
Facts with(Facts facts, Change change) {
  change(facts);
  return facts;
}

ProxyFacts without_lease() {
  return with(healthy(), [](auto& proxy) { proxy.holds_lease = false; });
}
ProxyFacts expecting_lease() {
  return with(without_lease(), [](auto& proxy) { proxy.expects_lease = true; });
}
ProxyFacts closed() {
  return with(healthy(), [](auto& proxy) { proxy.group_open = false; });
}
ProxyFacts changing() {
  return with(closed(), [](auto& proxy) { proxy.group_changing = true; });
}
ProxyFacts unreachable() {
  return with(healthy(), [](auto& proxy) { proxy.primary_unreachable = true; });
}
ProxyFacts full() {
  return with(healthy(), [](auto& proxy) { proxy.primary_full = true; });
}

constexpr StatementNeed kWrite{false, false, false};
constexpr StatementNeed kRead{true, false, false};
constexpr StatementNeed kReadAtPrimary{true, true, false};
constexpr StatementNeed kForwardedWrite{false, false, true};

BackendFacts backend(bool is_primary) {
  BackendFacts facts;
  facts.is_primary = is_primary;
  return facts;
}

AttemptAllowance allowance(bool may_wait) {
  AttemptAllowance allowance;
  allowance.may_wait = may_wait;
  return allowance;
}
AttemptAllowance patient() {
  return with(allowance(true), [](auto& facts) { facts.may_wait_longer = true; });
}
AttemptAllowance exhausted() {
  return with(allowance(true), [](auto& facts) { facts.may_attempt = false; });
}
AttemptAllowance already_sent() {
  return with(allowance(false), [](auto& facts) { facts.was_sent = true; });
}

const char* action_name(Action action) {
  if (action == Action::kRun) return "run";
  return action == Action::kWait ? "wait" : "refuse";
}

/// "run" with the backend's index, or the action and its reason.
std::string text_of(const Placement& placed) {
  if (placed.action == Action::kRun) return "run " + std::to_string(placed.backend);
  return std::string(action_name(placed.action)) + " " + rejection_name(placed.rejection);
}

}  // namespace

class PlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(forwards_to_other_proxies);
  CPPUNIT_TEST(runs_statements_locally);
  CPPUNIT_TEST(waits_for_lease_primary_or_backend);
  CPPUNIT_TEST(refuses_with_the_main_reason);
  CPPUNIT_TEST(does_not_wait_for_excluded_backends);
  CPPUNIT_TEST(skips_unresponsive_proxies_without_lease);
  CPPUNIT_TEST(decides_after_failed_forwarding);
  CPPUNIT_TEST(detects_obstacles_of_this_proxy_only);
  CPPUNIT_TEST(reason_names_are_unique);
  CPPUNIT_TEST_SUITE_END();

 public:
  void forwards_to_other_proxies() {
    struct Row {
      std::string what;
      StatementNeed need;
      ProxyFacts proxy;
      std::string answer;  ///< empty: not forwarded
    };
    const auto among = [this](ProxyFacts proxy) {
      proxy.others = &others_;
      proxy.also_serving = &also_serving_;
      return proxy;
    };
    const auto elsewhere = [this, among](ProxyFacts proxy) {
      proxy.serving = &serving_;
      return among(proxy);
    };
    const ProxyFacts closed_unreachable = with(unreachable(), [](auto& proxy) { proxy.group_open = false; });
    const ProxyFacts unleased_unreachable =
        with(unreachable(), [](auto& proxy) { proxy.holds_lease = false; });
    const ProxyFacts full_unreachable = with(full(), [this](auto& proxy) {
      proxy.primary_unreachable = true;
      proxy.others = &no_proxies_;
      proxy.also_serving = &also_serving_;
    });
    const std::vector<Row> rows{
        {"served here", kWrite, among(healthy()), ""},
        {"served elsewhere", kWrite, elsewhere(healthy()), "serving served_elsewhere"},
        {"a read served elsewhere", kRead, elsewhere(healthy()), "serving served_elsewhere"},
        {"served elsewhere, no lease", kWrite, elsewhere(without_lease()), "serving served_elsewhere"},
        {"a forwarded write is not forwarded again", kForwardedWrite, elsewhere(without_lease()), ""},
        {"no lease", kWrite, among(without_lease()), "others no_lease"},
        {"no lease, a read at the primary", kReadAtPrimary, among(without_lease()), "others no_lease"},
        {"no lease, a read at replicas", kRead, among(without_lease()), ""},
        {"no lease, no other proxy", kWrite, without_lease(), ""},
        {"unreachable", kWrite, among(unreachable()), "others primary_unreachable"},
        {"unreachable, a read at replicas", kRead, among(unreachable()), ""},
        {"unreachable, group closed", kWrite, among(closed_unreachable), ""},
        {"unreachable and no lease", kWrite, among(unleased_unreachable), "others no_lease"},
        {"full", kWrite, among(full()), "also_serving primary_full"},
        {"full, a read at replicas", kRead, among(full()), ""},
        {"full, no other proxy", kWrite, full(), ""},
        {"full, a forwarded write", kForwardedWrite, among(full()), ""},
        {"unreachable and full, only proxies that serve the group", kWrite, full_unreachable,
         "also_serving primary_full"},
        {"closed", kWrite, among(closed()), ""},
    };
    for (const Row& row : rows) {
      const auto forwarding = choose_forwarding(row.need, row.proxy);
      std::string answer;
      if (forwarding) answer = name_of(forwarding->proxies) + " " + forward_cause_name(forwarding->cause);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, row.answer, answer);
    }
  }

  void runs_statements_locally() {
    check({
        {"a write", kWrite, healthy(), {backend(true), backend(false)}, allowance(true), "run 0"},
        {"a read", kRead, healthy(), {backend(true), backend(false)}, allowance(true), "run 0"},
        {"a read at a replica without lease",
         kRead,
         without_lease(),
         {backend(false)},
         allowance(true),
         "run 0"},
        {"a read while the group is closed", kRead, closed(), {backend(false)}, allowance(true), "run 0"},
        {"no time left to wait", kWrite, healthy(), {backend(true)}, allowance(false), "run 0"},
        {"a retry", kWrite, healthy(), {backend(true)}, already_sent(), "run 0"},
        {"a forwarded write at a full primary",
         kForwardedWrite,
         full(),
         {backend(true)},
         allowance(true),
         "run 0"},
    });
  }

  void waits_for_lease_primary_or_backend() {
    const BackendFacts tried = with(backend(true), [](auto& facts) { facts.tried = true; });
    const BackendFacts old = with(backend(true), [](auto& facts) { facts.of_closed_term = true; });
    check({
        {"an expected lease", kWrite, expecting_lease(), {backend(true)}, allowance(true), "wait no_lease"},
        {"an expected lease, no time left",
         kWrite,
         expecting_lease(),
         {backend(true)},
         allowance(false),
         "refuse no_lease"},
        {"no lease expected", kWrite, without_lease(), {backend(true)}, allowance(true), "refuse no_lease"},
        {"an expected primary", kWrite, changing(), {old}, allowance(true), "wait group_closed"},
        {"an expected primary, no time left",
         kWrite,
         changing(),
         {old},
         allowance(false),
         "refuse group_closed"},
        {"no primary expected", kWrite, closed(), {old}, allowance(true), "refuse group_closed"},
        {"no backend known yet", kWrite, healthy(), {}, allowance(true), "wait no_backend"},
        {"all backends tried", kRead, healthy(), {tried}, allowance(true), "wait tried"},
    });
  }

  void refuses_with_the_main_reason() {
    const BackendFacts left = with(backend(true), [](auto& facts) { facts.leaving_grace_expired = true; });
    const BackendFacts tried = with(backend(true), [](auto& facts) { facts.tried = true; });
    check({
        {"no backend", kRead, healthy(), {}, allowance(false), "refuse no_backend"},
        {"draining for too long", kWrite, healthy(), {left}, allowance(false), "refuse leaving"},
        {"tried", kRead, healthy(), {tried}, allowance(false), "refuse tried"},
        {"out of attempts", kWrite, healthy(), {backend(true)}, exhausted(), "refuse no_backend"},
        {"out of attempts, no lease",
         kWrite,
         expecting_lease(),
         {backend(true)},
         exhausted(),
         "refuse no_lease"},
        {"out of attempts, closed", kWrite, changing(), {backend(true)}, exhausted(), "refuse group_closed"},
        {"out of attempts, unreachable",
         kWrite,
         unreachable(),
         {backend(true)},
         exhausted(),
         "refuse primary_unreachable"},
        {"out of attempts, full", kWrite, full(), {backend(true)}, exhausted(), "refuse primary_full"},
        {"a read that does not need the full primary",
         kRead,
         full(),
         {backend(true)},
         exhausted(),
         "refuse no_backend"},
        {"backends were busy", kWrite, without_lease(), {tried}, already_sent(), "refuse backends_busy"},
    });
    const Placement refused = place_locally(kWrite, closed(), {}, allowance(false));
    CPPUNIT_ASSERT(refused.retry_after == kRetryAfter);
  }

  void does_not_wait_for_excluded_backends() {
    const BackendFacts evacuated = with(backend(true), [](auto& facts) { facts.zone_evacuated = true; });
    const BackendFacts outside = with(backend(true), [](auto& facts) { facts.region_allowed = false; });
    BackendFacts cold = with(backend(true), [](auto& facts) { facts.cold_limit_reached = true; });
    check({
        {"evacuated", kWrite, healthy(), {evacuated}, allowance(true), "refuse zone_evacuated"},
        {"outside", kReadAtPrimary, healthy(), {outside}, allowance(true), "refuse outside_regions"},
        {"cold", kRead, healthy(), {cold}, allowance(true), "refuse cold_limit"},
        {"evacuated, lease expected",
         kWrite,
         expecting_lease(),
         {evacuated},
         allowance(true),
         "refuse zone_evacuated"},
        {"evacuated, sent before", kWrite, healthy(), {evacuated}, already_sent(), "refuse zone_evacuated"},
        {"a read at a replica of an evacuated primary",
         kRead,
         healthy(),
         {evacuated, backend(false)},
         allowance(true),
         "run 1"},
        {"a write at an evacuated primary",
         kWrite,
         healthy(),
         {evacuated, backend(false)},
         allowance(true),
         "refuse zone_evacuated"},
    });
    CPPUNIT_ASSERT(place_locally(kWrite, healthy(), {{cold}}, allowance(true)).retry_after == kRetryAfter);
    cold.retry_after = milliseconds(40);
    CPPUNIT_ASSERT(place_locally(kWrite, healthy(), {{cold}}, allowance(true)).retry_after ==
                   Duration(milliseconds(40)));
  }

  void skips_unresponsive_proxies_without_lease() {
    const NextProxy other;
    const NextProxy silent{false, true};
    const NextProxy self{true, false};
    CPPUNIT_ASSERT(try_next_proxy(other, healthy()) == NextProxyAction::kSend);
    CPPUNIT_ASSERT(try_next_proxy(other, without_lease()) == NextProxyAction::kSend);
    CPPUNIT_ASSERT(try_next_proxy(silent, healthy()) == NextProxyAction::kSend);
    CPPUNIT_ASSERT(try_next_proxy(silent, without_lease()) == NextProxyAction::kSkip);
    CPPUNIT_ASSERT(try_next_proxy(self, healthy()) == NextProxyAction::kRunHere);
    CPPUNIT_ASSERT(try_next_proxy(self, without_lease()) == NextProxyAction::kSkip);
  }

  void decides_after_failed_forwarding() {
    struct Row {
      std::string what;
      ForwardingOutcome end;
      ProxyFacts proxy;
      AttemptAllowance allowance;
      std::string answer;
    };
    const std::vector<Row> rows{
        {"answered, or in doubt", {false, false}, expecting_lease(), allowance(true), "refuse none"},
        {"no proxy accepted it", {true, false}, healthy(), allowance(true), "refuse no_proxy"},
        {"a lease is expected", {true, false}, expecting_lease(), allowance(true), "wait no_lease"},
        {"no time left for the lease", {true, true}, expecting_lease(), allowance(false), "refuse no_lease"},
        {"no lease is expected", {true, false}, without_lease(), allowance(true), "refuse no_lease"},
        {"the lease was renewed", {true, true}, healthy(), allowance(false), "run 0"},
        {"its caller accepts a longer wait", {true, false}, healthy(), patient(), "wait no_proxy"},
        {"the others are asked again", {true, true}, healthy(), patient(), "run 0"},
        {"it may have run there", {false, false}, healthy(), patient(), "refuse none"},
    };
    for (const Row& row : rows)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, row.answer,
                                   text_of(place_after_forwarding(row.end, row.proxy, row.allowance)));
  }

  void detects_obstacles_of_this_proxy_only() {
    CPPUNIT_ASSERT(!may_other_proxy_serve(healthy()));
    CPPUNIT_ASSERT(!may_other_proxy_serve(changing()));
    CPPUNIT_ASSERT(may_other_proxy_serve(without_lease()));
    CPPUNIT_ASSERT(may_other_proxy_serve(unreachable()));
    CPPUNIT_ASSERT(may_other_proxy_serve(full()));
  }

  void reason_names_are_unique() {
    std::set<std::string> names;
    for (std::size_t place = 0; place < kRejectionReasonCount; ++place) {
      const auto rejection = static_cast<RejectionReason>(place);
      names.insert(rejection_name(rejection));
      CPPUNIT_ASSERT(find_rejection(rejection_name(rejection)) == rejection);
      const bool says_something = !std::string(rejection_text(rejection)).empty();
      CPPUNIT_ASSERT_EQUAL(rejection != RejectionReason::kNone, says_something);
    }
    CPPUNIT_ASSERT_EQUAL(kRejectionReasonCount, names.size());
    CPPUNIT_ASSERT(!find_rejection("busy"));
    CPPUNIT_ASSERT_EQUAL(std::string("none"), std::string(rejection_name(RejectionReason::kNone)));
    CPPUNIT_ASSERT_EQUAL(std::string("over_limit"), std::string(rejection_name(RejectionReason::kOverLimit)));
    CPPUNIT_ASSERT_EQUAL(std::string("primary_full"),
                         std::string(forward_cause_name(ForwardCause::kPrimaryFull)));
  }

 private:
  struct Row {
    std::string what;
    StatementNeed need;
    ProxyFacts proxy;
    std::vector<BackendFacts> backends;
    AttemptAllowance allowance;
    std::string answer;
  };
  static void check(const std::vector<Row>& rows) {
    for (const Row& row : rows)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, row.answer,
                                   text_of(place_locally(row.need, row.proxy, row.backends, row.allowance)));
  }
  std::string name_of(const ProxyList* proxies) const {
    if (proxies == &serving_) return "serving";
    if (proxies == &others_) return "others";
    return proxies == &also_serving_ ? "also_serving" : "none";
  }

  const ProxyList no_proxies_{};
  const ProxyList serving_{std::make_shared<subset::ProxyView>()};
  const ProxyList others_{std::make_shared<subset::ProxyView>()};
  const ProxyList also_serving_{std::make_shared<subset::ProxyView>()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

}  // namespace cairnhollow::registered::placement
