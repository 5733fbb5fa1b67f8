// When those who stayed in a group are known to hold what those who left held.
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
  const char* what;
  Members before;
  Members after;
  bool left;
  bool was_replaced;
};

std::vector<Case> cases() {
  return {
      {"the same", {member("a", 1), member("b", 1)}, {member("a", 1), member("b", 1)}, false, false},
      {"one joined", {member("a", 1)}, {member("a", 1), member("b", 1)}, false, false},
      {"one that tells its start left", {member("a", 1), member("b", 1)}, {member("a", 1)}, true, true},
      {"one that tells none left", {member("a", 0), member("b", 0)}, {member("a", 0)}, true, false},
      {"one started again", {member("a", 1)}, {member("a", 2)}, true, true},
      {"one tells its start now", {member("a", 0)}, {member("a", 2)}, true, true},
      {"the first that are seen tell none", {}, {member("a", 0)}, false, false},
      {"the first that are seen tell it", {}, {member("a", 0), member("b", 1)}, true, true},
  };
}

}  // namespace

class MembershipWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipWatchTest);
  CPPUNIT_TEST(each_change_of_members);
  CPPUNIT_TEST(members_are_stable_after_a_time);
  CPPUNIT_TEST(what_was_settled_stays_so);
  CPPUNIT_TEST_SUITE_END();

 public:
  void each_change_of_members() {
    for (const Case& one : cases()) {
      Membership membership;
      membership.left_at = at(0);
      membership.members = one.before;
      membership.record(one.after, at(100));
      CPPUNIT_ASSERT_MESSAGE(one.what, membership.members == one.after);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.what, one.left, membership.is_unsettled);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.what, one.was_replaced, membership.was_replaced);
      CPPUNIT_ASSERT_MESSAGE(one.what, membership.left_at == at(one.left ? 100 : 0));
    }
  }

  void members_are_stable_after_a_time() {
    Membership membership;
    membership.left_at = at(0);
    membership.record({member("a", 0), member("b", 0)}, at(0));
    for (const auto& [age, stable] : {std::pair{0, false}, std::pair{3000, false}, std::pair{3001, true}})
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("{} ms", age), stable, membership.is_stable(at(age)));
    membership.record({member("a", 0)}, at(4000));
    CPPUNIT_ASSERT_MESSAGE("not by time alone", !membership.is_stable(at(9000)));
    membership.settle();
    CPPUNIT_ASSERT(!membership.is_stable(at(7000)));
    CPPUNIT_ASSERT(membership.is_stable(at(7001)));
  }

  void what_was_settled_stays_so() {
    Membership membership;
    membership.record({member("a", 1)}, at(0));
    membership.record({member("a", 2)}, at(100));
    membership.settle();
    membership.record({member("a", 2), member("b", 2)}, at(200));
    CPPUNIT_ASSERT(!membership.is_unsettled && !membership.was_replaced);
    CPPUNIT_ASSERT(membership.left_at == at(100));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipWatchTest);

}  // namespace cairnhollow::registered::control
