// Verifies how many proxies serve a group.
#include "registered/registry/division.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::registered::registry {

class DivisionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DivisionTest);
  CPPUNIT_TEST(limits_serving_proxies_by_connections);
  CPPUNIT_TEST(limits_serving_proxies_by_slots);
  CPPUNIT_TEST(uses_fewer_proxies_for_tenants);
  CPPUNIT_TEST(uses_all_proxies_without_limits);
  CPPUNIT_TEST_SUITE_END();

 public:
  void limits_serving_proxies_by_connections() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{11}, serving_proxies(rule(39), {}, 1500, false));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{35}, usable_connections(rule(39)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, usable_connections(rule(3)));
  }
  void limits_serving_proxies_by_slots() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{15}, serving_proxies(rule(66), {3, 4, 0}, 95, false));
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, serving_proxies(rule(66), {3}, 6, false));
  }
  void uses_fewer_proxies_for_tenants() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, serving_proxies(rule(66), {3, 4, 0}, 95, true));
  }
  void uses_all_proxies_without_limits() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{95}, serving_proxies(rule(0), {0}, 95, false));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, usable_connections(rule(0)));
  }

 private:
  static GroupRule rule(std::uint64_t connections) { return {GroupName("group"), connections, 1}; }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DivisionTest);

}  // namespace cairnhollow::registered::registry
