// Tests which changes a relay's batch history reports and when it forgets them.
#include "declared/control/follow/batch_history.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::declared::control {
namespace {

config::ObjectKey key(int number) {
  return {config::ObjectKind::kBackend, "backend-" + std::to_string(number)};
}

class BatchHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BatchHistoryTest);
  CPPUNIT_TEST(test_names_what_came_after);
  CPPUNIT_TEST(test_place_inside_a_batch_gets_the_whole_batch);
  CPPUNIT_TEST(test_unknown_places_are_refused);
  CPPUNIT_TEST(test_gap_starts_anew);
  CPPUNIT_TEST(test_bounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    history_ = BatchHistory();
    history_.restart(10);
    history_.record(10, 13, {key(1), key(2)});
    history_.record(13, 14, {key(3)});
  }

  void test_names_what_came_after() {
    CPPUNIT_ASSERT(*history_.touched_since(13) == std::set<config::ObjectKey>{key(3)});
    CPPUNIT_ASSERT((*history_.touched_since(10) == std::set<config::ObjectKey>{key(1), key(2), key(3)}));
    CPPUNIT_ASSERT(history_.touched_since(14)->empty());
  }

  void test_place_inside_a_batch_gets_the_whole_batch() {
    CPPUNIT_ASSERT((*history_.touched_since(12) == std::set<config::ObjectKey>{key(1), key(2), key(3)}));
  }

  void test_unknown_places_are_refused() {
    CPPUNIT_ASSERT(!history_.touched_since(9));
    CPPUNIT_ASSERT(!history_.touched_since(15));
  }

  void test_gap_starts_anew() {
    history_.record(20, 21, {key(4)});
    CPPUNIT_ASSERT(!history_.touched_since(14));
    CPPUNIT_ASSERT(*history_.touched_since(20) == std::set<config::ObjectKey>{key(4)});
  }

  void test_bounded() {
    std::uint64_t revision = 14;
    for (std::size_t batch = 0; batch < 2 * BatchHistory::kMaximumKeys / 1000; ++batch) {
      std::vector<config::ObjectKey> keys;
      keys.reserve(1000);
      for (int number = 0; number < 1000; ++number) keys.push_back(key(number));
      history_.record(revision, revision + 1, std::move(keys));
      ++revision;
    }
    CPPUNIT_ASSERT(!history_.touched_since(14));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, history_.touched_since(revision - 1)->size());
  }

 private:
  BatchHistory history_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchHistoryTest);

}  // namespace
}  // namespace cairnhollow::declared::control
