// Log lines below the configured level are not written.
#include "runtime/json_logger.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <string_view>
#include <vector>

namespace cairnhollow::runtime {

class JsonLoggerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JsonLoggerTest);
  CPPUNIT_TEST(writes_only_enabled_levels);
  CPPUNIT_TEST_SUITE_END();

 public:
  void writes_only_enabled_levels() {
    std::vector<std::string> lines;
    JsonLogger logger(
        {}, LogLevel::kInfo, [] { return std::int64_t{0}; },
        [&lines](std::string_view line) { lines.emplace_back(line); });
    CPPUNIT_ASSERT(!logger.is_enabled(LogLevel::kDebug));
    CPPUNIT_ASSERT(logger.is_enabled(LogLevel::kInfo));
    logger.log(LogLevel::kDebug, "left_out", {});
    CPPUNIT_ASSERT(lines.empty());
    logger.log(LogLevel::kInfo, "written", {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonLoggerTest);

}  // namespace cairnhollow::runtime
