// Compressed messages decompress to the original bytes; invalid input is refused.
#include "wire/compression.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::wire {

class CompressionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CompressionTest);
  CPPUNIT_TEST(compression_round_trips);
  CPPUNIT_TEST(repeated_names_compress);
  CPPUNIT_TEST(truncated_and_damaged_messages_are_refused);
  CPPUNIT_TEST(oversized_decompression_is_refused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void compression_round_trips() {
    for (const std::string& message : {std::string(), std::string("a"), std::string(100000, 'x'), names()}) {
      Reason reason;
      const auto back = decompress(compress(message), reason);
      CPPUNIT_ASSERT(back.has_value());
      CPPUNIT_ASSERT(message == *back);
    }
  }

  void repeated_names_compress() { CPPUNIT_ASSERT(compress(names()).size() * 3 < names().size()); }

  void truncated_and_damaged_messages_are_refused() {
    const std::string compressed = compress(names());
    expect_refused(compressed.substr(0, compressed.size() / 2));
    expect_refused(compressed + "more");
    expect_refused("no compressed message");
    std::string damaged = compressed;
    damaged[damaged.size() / 2] = static_cast<char>(damaged[damaged.size() / 2] ^ 0x55);
    expect_refused(damaged);
  }

  void oversized_decompression_is_refused() {
    expect_refused(compress(std::string(kMaxDecompressedBytes + 1, 'x')));
  }

 private:
  static std::string names() {
    std::string text;
    for (int number = 0; number < 1000; ++number) text += "front-zone-" + std::to_string(number) + ";";
    return text;
  }
  static void expect_refused(const std::string& bytes) {
    Reason reason;
    CPPUNIT_ASSERT(!decompress(bytes, reason).has_value());
    CPPUNIT_ASSERT(reason.code == ReasonCode::kCorrupt);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CompressionTest);

}  // namespace cairnhollow::wire
