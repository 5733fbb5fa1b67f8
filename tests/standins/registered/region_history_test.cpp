// The checker of regions: histories that it must reject, and those that it must pass.
#include "standins/registered/region_history.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::standins::registered {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSettles = seconds(4);

TimePoint at(int ms) { return TimePoint(seconds(100) + milliseconds(ms)); }

/// "records" is bound to the north, the tenant "kea" to the south.
RegionHistory history() {
  RegionHistory whole;
  whole.zone_regions = {{ZoneName("n1"), RegionName("north")}, {ZoneName("s1"), RegionName("south")}};
  whole.callers = {{"bound", {"records", TenantName()}},
                   {"free", {"browse", TenantName()}},
                   {"kea", {"browse", TenantName("kea")}}};
  RegionEra era;
  era.by_database["records"] = {RegionName("north")};
  era.by_tenant[TenantName("kea")] = {RegionName("south")};
  era.acknowledged_at = at(-10'000);
  whole.eras = {era};
  return whole;
}

void place(RegionHistory& whole, const std::string& caller, const std::string& zone, bool at_backend,
           int ms = 0) {
  whole.placed.push_back({caller + "-1.2", ZoneName(zone), at_backend, at(ms)});
}

std::size_t violations_of(const RegionHistory& whole) {
  return find_region_violations(whole, kSettles).size();
}

}  // namespace

class RegionHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegionHistoryTest);
  CPPUNIT_TEST(what_is_inside_passes);
  CPPUNIT_TEST(a_run_outside_is_rejected);
  CPPUNIT_TEST(a_text_at_a_proxy_outside_is_rejected);
  CPPUNIT_TEST(a_zone_without_region_is_outside);
  CPPUNIT_TEST(a_changed_document_binds_once_it_has_settled);
  CPPUNIT_TEST_SUITE_END();

 public:
  void what_is_inside_passes() {
    RegionHistory whole = history();
    place(whole, "bound", "n1", true);
    place(whole, "bound", "n1", false);
    place(whole, "kea", "s1", true);
    place(whole, "free", "s1", true);
    place(whole, "free", "n1", false);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations_of(whole));
  }

  void a_run_outside_is_rejected() {
    RegionHistory whole = history();
    place(whole, "bound", "s1", true);
    place(whole, "kea", "n1", true);
    const auto violations = find_region_violations(whole, kSettles);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, violations.size());
    CPPUNIT_ASSERT_EQUAL(std::string("region: bound-1.2 of records ran in s1 at 100000 ms"), violations[0]);
  }

  void a_text_at_a_proxy_outside_is_rejected() {
    RegionHistory whole = history();
    place(whole, "bound", "s1", false);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, violations_of(whole));
  }

  void a_zone_without_region_is_outside() {
    RegionHistory whole = history();
    place(whole, "bound", "dark", true);
    place(whole, "free", "dark", true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, violations_of(whole));
  }

  void a_changed_document_binds_once_it_has_settled() {
    RegionHistory whole = history();
    RegionEra later;
    later.by_database["records"] = {RegionName("south")};
    later.acknowledged_at = at(0);
    whole.eras.push_back(later);
    place(whole, "bound", "n1", true, 3'900);
    place(whole, "bound", "s1", true, 100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations_of(whole));
    place(whole, "bound", "n1", true, 4'100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, violations_of(whole));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegionHistoryTest);

}  // namespace cairnhollow::standins::registered
