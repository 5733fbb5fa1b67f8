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
  CPPUNIT_TEST(returns_objects_touched_after_a_revision);
  CPPUNIT_TEST(revision_inside_a_batch_returns_the_whole_batch);
  CPPUNIT_TEST(unknown_revisions_return_nothing);
  CPPUNIT_TEST(gap_between_batches_resets_the_history);
  CPPUNIT_TEST(evicts_oldest_batches_above_the_key_limit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    history_ = BatchHistory();
    history_.reset(10);
    history_.record(10, 13, {key(1), key(2)});
    history_.record(13, 14, {key(3)});
  }

  void returns_objects_touched_after_a_revision() {
    CPPUNIT_ASSERT(*history_.touched_since(13) == std::set<config::ObjectKey>{key(3)});
    CPPUNIT_ASSERT((*history_.touched_since(10) == std::set<config::ObjectKey>{key(1), key(2), key(3)}));
    CPPUNIT_ASSERT(history_.touched_since(14)->empty());
  }

  void revision_inside_a_batch_returns_the_whole_batch() {
    CPPUNIT_ASSERT((*history_.touched_since(12) == std::set<config::ObjectKey>{key(1), key(2), key(3)}));
  }

  void unknown_revisions_return_nothing() {
    CPPUNIT_ASSERT(!history_.touched_since(9));
    CPPUNIT_ASSERT(!history_.touched_since(15));
  }

  void gap_between_batches_resets_the_history() {
    history_.record(20, 21, {key(4)});
    CPPUNIT_ASSERT(!history_.touched_since(14));
    CPPUNIT_ASSERT(*history_.touched_since(20) == std::set<config::ObjectKey>{key(4)});
  }

  void evicts_oldest_batches_above_the_key_limit() {
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
