// Shares of connections and slots, for all numbers of connections and proxies up to the limits below.
#include "declared/backend/pool_share.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::declared::backend {
namespace {

constexpr std::uint32_t kMostConnections = 70;
constexpr std::uint32_t kMostProxies = 150;

class PoolShareTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PoolShareTest);
  CPPUNIT_TEST(test_shares_stay_within_the_limit);
  CPPUNIT_TEST(test_shares_leave_less_than_one_connection_per_proxy);
  CPPUNIT_TEST(test_slot_shares_cover_the_slots);
  CPPUNIT_TEST(test_example_sizes);
  CPPUNIT_TEST(test_more_proxies_than_connections);
  CPPUNIT_TEST(test_no_proxy_counts_as_one);
  CPPUNIT_TEST_SUITE_END();

 public:
  void test_shares_stay_within_the_limit() {
    for (std::uint32_t connections = 1; connections <= kMostConnections; ++connections) {
      for (std::uint32_t proxies = 1; proxies <= connections; ++proxies) {
        CPPUNIT_ASSERT(connection_share({connections, 5, proxies}) * proxies <= connections);
      }
    }
  }

  void test_shares_leave_less_than_one_connection_per_proxy() {
    for (std::uint32_t connections = 1; connections <= kMostConnections; ++connections) {
      for (std::uint32_t proxies = 1; proxies <= connections; ++proxies) {
        CPPUNIT_ASSERT((connection_share({connections, 5, proxies}) + 1) * proxies > connections);
      }
    }
  }

  void test_slot_shares_cover_the_slots() {
    for (std::uint32_t slots = 1; slots <= kMostConnections; ++slots) {
      for (std::uint32_t proxies = 1; proxies <= kMostProxies; ++proxies) {
        CPPUNIT_ASSERT(slot_share({kMostConnections, slots, proxies}) * proxies >= slots);
      }
    }
  }

  void test_example_sizes() {
    CPPUNIT_ASSERT_EQUAL(17U, connection_share({35, 5, 2}));
    CPPUNIT_ASSERT_EQUAL(3U, slot_share({35, 5, 2}));
    CPPUNIT_ASSERT_EQUAL(20U, connection_share({60, 4, 3}));
    CPPUNIT_ASSERT_EQUAL(2U, slot_share({60, 4, 3}));
  }

  void test_more_proxies_than_connections() {
    const BackendCapacity capacity{35, 5, kMostProxies};
    CPPUNIT_ASSERT_EQUAL(1U, connection_share(capacity));
    CPPUNIT_ASSERT_EQUAL(1U, slot_share(capacity));
    CPPUNIT_ASSERT_EQUAL(0U, warm_connections(capacity));
    CPPUNIT_ASSERT_EQUAL(1U, warm_connections({35, 5, 35}));
  }

  void test_no_proxy_counts_as_one() {
    CPPUNIT_ASSERT_EQUAL(35U, connection_share({35, 5, 0}));
    CPPUNIT_ASSERT_EQUAL(5U, slot_share({35, 5, 0}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PoolShareTest);

}  // namespace
}  // namespace cairnhollow::declared::backend
