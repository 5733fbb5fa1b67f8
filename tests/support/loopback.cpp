#include "tests/support/loopback.h"

#include <cppunit/TestAssert.h>

#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <filesystem>
#include <fstream>
#include <string>

namespace cairnhollow::tests {

namespace {

/// Whether a thread of this process waits for a disk: the state letter of proc(5), which stands behind the
/// name in parentheses, is D while a write or sync is in the kernel's hands.
bool waits_for_disk() {
  for (const auto& thread : std::filesystem::directory_iterator("/proc/self/task")) {
    std::ifstream file(thread.path() / "stat");
    const std::string line{std::istreambuf_iterator<char>(file), {}};
    const auto name_end = line.rfind(')');
    if (name_end != std::string::npos && line.substr(name_end + 1, 2) == " D") return true;
  }
  return false;
}

}  // namespace

Loopback::Loopback(const host::AsioRuntimeSettings& settings)
    : runtime_(host::make_asio_runtime(context_, settings)) {}

void Loopback::run(Awaitable<void> task, Duration limit) {
  bool ended = false;
  std::exception_ptr fault;
  boost::asio::co_spawn(context_, std::move(task), [&](const std::exception_ptr& thrown) {
    ended = true;
    fault = thrown;
  });
  context_.restart();
  TimePoint counted_until = runtime_->now();
  while (!ended && limit > Duration::zero()) {
    const bool idle = context_.run_one_for(kCountedAtOnce) == 0;
    if (idle && context_.stopped()) break;
    const Duration passed = runtime_->now() - counted_until;
    if (passed < kCountedAtOnce) continue;
    if (!waits_for_disk()) limit -= passed;
    counted_until += passed;
  }
  if (fault) std::rethrow_exception(fault);
  CPPUNIT_ASSERT_MESSAGE("the test's coroutine did not end in time", ended);
}

void Loopback::run_to_end() {
  context_.restart();
  context_.run_for(kLoopbackLimit);
  CPPUNIT_ASSERT_MESSAGE("something still waits", context_.stopped());
}

}  // namespace cairnhollow::tests
