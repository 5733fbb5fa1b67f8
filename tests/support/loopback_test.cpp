// The limit of a test on the real runtime: what never ends is given up, what waits for a disk is not.
#include "tests/support/loopback.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/wait.h>
#include <unistd.h>

#include <thread>

namespace cairnhollow::tests {

namespace {

using std::chrono::milliseconds;

constexpr Duration kLimit = milliseconds(100);
constexpr Duration kLongerThanTheLimit = milliseconds(300);
constexpr useconds_t kBlockedMicroseconds = 600'000;

/// Waits in the kernel as for a disk: uninterruptibly, until its child has ended.
void wait_as_for_a_disk() {
  const pid_t child = ::vfork();  // NOLINT(clang-analyzer-security.insecureAPI.vfork)
  if (child == 0) {
    ::usleep(kBlockedMicroseconds);
    ::_exit(0);
  }
  ::waitpid(child, nullptr, 0);
}

}  // namespace

class LoopbackTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoopbackTest);
  CPPUNIT_TEST(what_waits_for_nothing_is_given_up);
  CPPUNIT_TEST(time_at_a_disk_is_not_counted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void what_waits_for_nothing_is_given_up() {
    CPPUNIT_ASSERT_THROW(loopback_.run(sleep_for(kLongerThanTheLimit), kLimit), CppUnit::Exception);
  }

  void time_at_a_disk_is_not_counted() {
    std::thread blocked(wait_as_for_a_disk);
    loopback_.run(sleep_for(kLongerThanTheLimit), kLimit);
    blocked.join();
  }

 private:
  Awaitable<void> sleep_for(Duration duration) { co_await loopback_.runtime().sleep_for(duration); }

  Loopback loopback_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoopbackTest);

}  // namespace cairnhollow::tests
