#include "consensus/record.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::consensus {

class RecordTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecordTest);
  CPPUNIT_TEST(records_round_trip);
  CPPUNIT_TEST(every_flipped_byte_is_detected);
  CPPUNIT_TEST(every_truncation_is_detected);
  CPPUNIT_TEST(finds_the_record_after_damage);
  CPPUNIT_TEST_SUITE_END();

 public:
  void records_round_trip() {
    const std::string content = make_record("first", 7) + make_record("", 9);
    const auto first = read_record(content, 0);
    CPPUNIT_ASSERT_EQUAL(std::string("first"), first->payload);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, first->synced_size);
    const auto second = read_record(content, first->end);
    CPPUNIT_ASSERT(second->payload.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{content.size()}, second->end);
    CPPUNIT_ASSERT(!read_record(content, second->end));
  }

  void every_flipped_byte_is_detected() {
    const std::string whole = make_record("payload", 3);
    for (std::size_t at = 0; at < whole.size(); ++at) {
      std::string damaged = whole;
      damaged[at] = static_cast<char>(damaged[at] ^ 0x10);
      CPPUNIT_ASSERT(!read_record(damaged, 0));
    }
  }

  void every_truncation_is_detected() {
    const std::string whole = make_record("payload", 3);
    for (std::size_t size = 0; size < whole.size(); ++size) {
      CPPUNIT_ASSERT(!read_record(whole.substr(0, size), 0));
    }
  }

  void finds_the_record_after_damage() {
    std::string content = make_record("first", 0);
    const std::uint64_t second_offset = content.size();
    content += make_record("second", second_offset);
    content[5] = static_cast<char>(content[5] ^ 1);
    const auto found = find_record(content, 0);
    CPPUNIT_ASSERT_EQUAL(second_offset, found->offset);
    CPPUNIT_ASSERT_EQUAL(std::string("second"), found->payload);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordTest);

}  // namespace cairnhollow::consensus
