// Tests when the remaining members of a group are known to hold what departed members held.
#include "registered/control/failover/membership_watch.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace cairnhollow::registered::control {

using std::chrono::milliseconds;

namespace {

using Members = std::set<registry::BackendIncarnation>;

registry::BackendIncarnation member(const std::string& name, std::uint64_t start_time_ms) {
  return {BackendName(name), start_time_ms};
}

TimePoint at(int milliseconds_since) {
  return TimePoint{} + std::chrono::hours(1) + milliseconds(milliseconds_since);
}

struct Case {
  const char* description;
  Members before;
  Members after;
  bool departed;
  bool was_replaced;
};

std::vector<Case> cases() {
  return {
      {"no change", {member("a", 1), member("b", 1)}, {member("a", 1), member("b", 1)}, false, false},
      {"a member joined", {member("a", 1)}, {member("a", 1), member("b", 1)}, false, false},
      {"a member with a start time left", {member("a", 1), member("b", 1)}, {member("a", 1)}, true, true},
      {"a member without a start time left", {member("a", 0), member("b", 0)}, {member("a", 0)}, true, false},
      {"a member restarted", {member("a", 1)}, {member("a", 2)}, true, true},
      {"a member started to report its start time", {member("a", 0)}, {member("a", 2)}, true, true},
      {"first observation, no start times", {}, {member("a", 0)}, false, false},
      {"first observation, with a start time", {}, {member("a", 0), member("b", 1)}, true, true},
  };
}

}  // namespace

class MembershipWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipWatchTest);
  CPPUNIT_TEST(detects_departed_and_replaced_members);
  CPPUNIT_TEST(becomes_stable_after_the_settle_time);
  CPPUNIT_TEST(stays_settled_when_a_member_joins);
  CPPUNIT_TEST_SUITE_END();

 public:
  void detects_departed_and_replaced_members() {
    for (const Case& test_case : cases()) {
      Membership membership;
      membership.last_departure = at(0);
      membership.members = test_case.before;
      membership.record(test_case.after, at(100));
      CPPUNIT_ASSERT_MESSAGE(test_case.description, membership.members == test_case.after);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test_case.description, test_case.departed, membership.is_unsettled);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test_case.description, test_case.was_replaced, membership.was_replaced);
      CPPUNIT_ASSERT_MESSAGE(test_case.description,
                             membership.last_departure == at(test_case.departed ? 100 : 0));
    }
  }

  void becomes_stable_after_the_settle_time() {
    Membership membership;
    membership.last_departure = at(0);
    membership.record({member("a", 0), member("b", 0)}, at(0));
    for (const auto& [age, stable] : {std::pair{0, false}, std::pair{3000, false}, std::pair{3001, true}})
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("{} ms", age), stable, membership.is_stable(at(age)));
    membership.record({member("a", 0)}, at(4000));
    CPPUNIT_ASSERT_MESSAGE("departed member needs a comparison", !membership.is_stable(at(9000)));
    membership.settle();
    CPPUNIT_ASSERT(!membership.is_stable(at(7000)));
    CPPUNIT_ASSERT(membership.is_stable(at(7001)));
  }

  void stays_settled_when_a_member_joins() {
    Membership membership;
    membership.record({member("a", 1)}, at(0));
    membership.record({member("a", 2)}, at(100));
    membership.settle();
    membership.record({member("a", 2), member("b", 2)}, at(200));
    CPPUNIT_ASSERT(!membership.is_unsettled && !membership.was_replaced);
    CPPUNIT_ASSERT(membership.last_departure == at(100));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipWatchTest);

}  // namespace cairnhollow::registered::control
