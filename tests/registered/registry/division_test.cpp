// Verifies how many proxies serve a group.
#include "registered/registry/division.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::registered::registry {

class DivisionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DivisionTest);
  CPPUNIT_TEST(connections_bound_the_serving_proxies);
  CPPUNIT_TEST(slots_bound_the_serving_proxies);
  CPPUNIT_TEST(tenants_meet_at_fewer_proxies);
  CPPUNIT_TEST(without_limits_all_serve);
  CPPUNIT_TEST_SUITE_END();

 public:
  void connections_bound_the_serving_proxies() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{11}, serving_proxies(rule(39), {}, 1500, false));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{35}, usable_connections(rule(39)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, usable_connections(rule(3)));
  }
  void slots_bound_the_serving_proxies() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{15}, serving_proxies(rule(66), {3, 4, 0}, 95, false));
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, serving_proxies(rule(66), {3}, 6, false));
  }
  void tenants_meet_at_fewer_proxies() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, serving_proxies(rule(66), {3, 4, 0}, 95, true));
  }
  void without_limits_all_serve() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{95}, serving_proxies(rule(0), {0}, 95, false));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, usable_connections(rule(0)));
  }

 private:
  static GroupRule rule(std::uint64_t connections) { return {GroupName("group"), connections, 1}; }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DivisionTest);

}  // namespace cairnhollow::registered::registry
