// The figures that a scenario's report gives.
#include "simulation/report.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::simulation {
namespace {

using std::chrono::seconds;

class ReportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReportTest);
  CPPUNIT_TEST(test_quantile);
  CPPUNIT_TEST_SUITE_END();

 public:
  void test_quantile() {
    CPPUNIT_ASSERT(quantile({}, 0.5) == Duration(0));
    const std::vector<Duration> values{seconds(3), seconds(1), seconds(2), seconds(4)};
    CPPUNIT_ASSERT(quantile(values, 0.5) == seconds(2));
    CPPUNIT_ASSERT(quantile(values, 0.99) == seconds(4));
    CPPUNIT_ASSERT(quantile(values, 0.01) == seconds(1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReportTest);

}  // namespace
}  // namespace cairnhollow::simulation
