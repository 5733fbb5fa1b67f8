// Verifies when a lease is granted, and which proxies may still hold one when a group is closed.
#include "registered/control/leases/lease_keeper.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/registered/control/control_stand.h"

namespace cairnhollow::registered::control {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const GroupName kGroup("group");

}  // namespace

class LeaseKeeperTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaseKeeperTest);
  CPPUNIT_TEST(answers_report_with_lease);
  CPPUNIT_TEST(grants_no_lease_without_quorum);
  CPPUNIT_TEST(grants_no_lease_across_leader_change);
  CPPUNIT_TEST(grants_no_lease_without_current_state);
  CPPUNIT_TEST(announces_stable_revision);
  CPPUNIT_TEST(announcement_ends_when_leadership_begins_anew);
  CPPUNIT_TEST(announces_nothing_without_shared_limits);
  CPPUNIT_TEST(announces_nothing_after_shared_limits_are_off);
  CPPUNIT_TEST(waits_out_lease_of_this_leader);
  CPPUNIT_TEST(waits_out_lease_of_previous_leader);
  CPPUNIT_TEST(counts_answers_only_of_current_close_and_incarnation);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    stand_ = std::make_unique<ControlStand>();
    stand_->leases().start();
    stand_->open_group();
  }
  void tearDown() override { stand_.reset(); }

  void answers_report_with_lease() {
    const auto proxy = stand_->connect("proxy");
    report(*proxy);
    CPPUNIT_ASSERT(proxy->lease() == ControlStand::kLease);
    CPPUNIT_ASSERT(!proxy->was_refused());
  }

  void grants_no_lease_without_quorum() {
    stand_->admit("proxy");
    const auto proxy = stand_->connect("proxy");
    stand_->consensus().has_quorum = false;
    report(*proxy);
    stand_->run_for(seconds(1));
    CPPUNIT_ASSERT(proxy->lease() == Duration(0));
    CPPUNIT_ASSERT(proxy->was_refused());
  }

  void grants_no_lease_across_leader_change() {
    stand_->admit("proxy");
    const auto proxy = stand_->connect("proxy");
    // Another node led in the meantime and may have replaced the primary.
    stand_->consensus().during_barrier = [this] {
      stand_->consensus().led_term += 2;
      const auto other = stand_->connect("other");
      other->report({});
    };
    stand_->consensus().barrier_takes = milliseconds(20);
    report(*proxy);
    CPPUNIT_ASSERT(proxy->lease() == Duration(0));
  }

  void grants_no_lease_without_current_state() {
    const auto first = stand_->connect("first");
    const auto second = stand_->connect("second");
    report(*first);
    report(*second);
    CPPUNIT_ASSERT(second->lease() == ControlStand::kLease);
    second->updates.clear();
    // The delta is large enough that it cannot be in flight to both proxies at once.
    first->stall_sends(true);
    registry::ConfigurationDocument document;
    document.version = 2;
    const std::string padding(2000, 'x');
    for (int number = 0; number < 4000; ++number) {
      registry::RouteRule route;
      route.name = RouteName(std::to_string(number) + padding);
      route.database = DatabaseName(std::to_string(number));
      document.routes.push_back(route);
    }
    stand_->consensus().commit(registry::ReplaceDocument{document});
    stand_->run_for(seconds(1));
    report(*second);
    CPPUNIT_ASSERT(!second->updates.empty());
    for (const auto& update : second->updates)
      CPPUNIT_ASSERT(update.lease == Duration(0) || !update.delta.empty());
    first->stall_sends(false);
    stand_->run_for(seconds(1));
    report(*second);
    CPPUNIT_ASSERT(second->lease() == ControlStand::kLease);
  }

  void announces_stable_revision() {
    require_keys();
    const auto first = stand_->connect("first");
    const auto second = stand_->connect("second");
    report(*first);
    report(*second);
    // `second` has not yet reported that it holds the membership in force.
    report(*first, 0, stand_->fleet().revision());
    stand_->run_for(milliseconds(300));
    first->updates.clear();
    second->updates.clear();
    stand_->run_for(milliseconds(200));
    CPPUNIT_ASSERT_MESSAGE("nothing is new", first->updates.empty() && second->updates.empty());
    report(*second, 0, stand_->fleet().revision());
    stand_->run_for(milliseconds(150));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first->updates.size());
    const registry::ProxyUpdate& announcement = first->updates.front();
    CPPUNIT_ASSERT(announcement.lease == Duration(0));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, announcement.nonce);
    CPPUNIT_ASSERT_EQUAL(stand_->fleet().revision(), announcement.stable_revision);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("its lease told it already", std::size_t{1}, second->updates.size());
    stand_->run_for(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first->updates.size());
  }

  void announcement_ends_when_leadership_begins_anew() {
    require_keys();
    const auto first = stand_->connect("first");
    report(*first);
    report(*first, 0, stand_->fleet().revision());
    stand_->run_for(milliseconds(300));
    stand_->consensus().led_term += 2;
    // The new leadership has not heard from this proxy, and must not know of its revision.
    const auto second = stand_->connect("second");
    report(*second);
    stand_->run_for(milliseconds(500));
    CPPUNIT_ASSERT(second->updates.size() <= 4);
  }

  void announces_nothing_without_shared_limits() {
    const auto first = stand_->connect("first");
    const auto second = stand_->connect("second");
    report(*first, 0, stand_->fleet().revision());
    report(*second, 0, stand_->fleet().revision());
    stand_->run_for(milliseconds(300));
    for (const auto& update : first->updates) CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, update.stable_revision);
  }

  void announces_nothing_after_shared_limits_are_off() {
    require_keys();
    const auto first = stand_->connect("first");
    report(*first);
    report(*first, 0, stand_->fleet().revision());
    stand_->run_for(milliseconds(300));
    CPPUNIT_ASSERT_MESSAGE("announced before", first->updates.back().stable_revision > 0);
    require_keys(false);
    // A build that does not read the field may follow now.
    const auto second = stand_->connect("second");
    report(*second);
    stand_->run_for(milliseconds(300));
    CPPUNIT_ASSERT(!second->updates.empty());
    for (const auto& update : second->updates) CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, update.stable_revision);
  }

  void waits_out_lease_of_this_leader() {
    stand_->run_for(ControlStand::kLease * 2);
    const auto proxy = stand_->connect("proxy");
    report(*proxy);
    const TimePoint reported = stand_->now();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, progress(5).possible_leaseholders);
    stand_->run_for(ControlStand::kLease - milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, progress(5).possible_leaseholders);
    stand_->run_for(reported + ControlStand::kLease + milliseconds(1) - stand_->now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, progress(5).possible_leaseholders);
    CPPUNIT_ASSERT_MESSAGE("the proxy may have acknowledged commits", !progress(5).all_answered);
  }

  void waits_out_lease_of_previous_leader() {
    stand_->admit("proxy");
    stand_->run_for(ControlStand::kLease * 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, progress(5).possible_leaseholders);
    stand_->consensus().led_term += 2;
    stand_->run_for(kLapseCheckInterval);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the previous leader may have granted a lease", std::size_t{1},
                                 progress(5).possible_leaseholders);
    stand_->run_for(ControlStand::kLease - kLapseCheckInterval - milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, progress(5).possible_leaseholders);
    stand_->run_for(kLapseCheckInterval);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, progress(5).possible_leaseholders);
  }

  void counts_answers_only_of_current_close_and_incarnation() {
    const auto proxy = stand_->connect("proxy");
    report(*proxy, 2);
    CPPUNIT_ASSERT(progress(2).all_answered);
    CPPUNIT_ASSERT(progress(2).highest_acknowledged == (Position{1, 7}));
    CPPUNIT_ASSERT_MESSAGE("the answer was to an earlier close", !progress(3).all_answered);
    stand_->consensus().commit(
        registry::AdmitProxy{{NodeName("proxy"), 2, ZoneName("a"), {"10.0.0.9", 7440}, false}});
    CPPUNIT_ASSERT_MESSAGE("the answer was from an earlier incarnation", !progress(2).all_answered);
  }

 private:
  void require_keys(bool required = true) {
    registry::ConfigurationDocument document;
    document.version = required ? 2 : 3;
    document.requires_keys = required;
    stand_->consensus().commit(registry::ReplaceDocument{document});
  }

  /// Sends a report of the proxy's first incarnation. `closed_epoch` 0: without an acknowledgement of a
  /// close. `revision`: the fleet revision that the proxy holds.
  void report(ProxyFrames& proxy, std::uint64_t closed_epoch = 0, std::uint64_t revision = 0) {
    registry::ProxyReport report;
    report.nonce = ++nonce_;
    report.incarnation = 1;
    report.revision = revision;
    report.peer_endpoint = {"10.0.0.9", 7440};
    if (closed_epoch > 0) report.closed = {{kGroup, closed_epoch, Position{1, 7}}};
    proxy.report(report);
    stand_->run_for(milliseconds(50));
  }
  [[nodiscard]] FenceProgress progress(std::uint64_t epoch) {
    return stand_->leases().fence_progress(kGroup, epoch);
  }

  std::unique_ptr<ControlStand> stand_;
  std::uint64_t nonce_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseKeeperTest);

}  // namespace cairnhollow::registered::control
