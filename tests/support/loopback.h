// The real runtime for one test: loopback only, bounded in time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "host/asio_runtime.h"

namespace cairnhollow::tests {

/// Any step of a test on sockets is over long before this.
inline constexpr Duration kLoopbackLimit = std::chrono::seconds(20);

/// The time of a test is counted in steps of this length.
inline constexpr Duration kCountedAtOnce = std::chrono::milliseconds(20);

class Loopback {
 public:
  explicit Loopback(const host::AsioRuntimeSettings& settings = {});

  runtime::Runtime& runtime() { return *runtime_; }
  boost::asio::io_context& context() { return context_; }
  [[nodiscard]] TimePoint limit() const { return runtime_->now() + kLoopbackLimit; }

  /// Runs a coroutine to its end and passes on what it throws. Fails when it does not end within `limit`;
  /// time in which a thread of this process waits for a disk is the machine's, not the test's, and is not
  /// counted.
  void run(Awaitable<void> task, Duration limit = kLoopbackLimit);
  /// Runs what is left until nothing waits any more. Fails when that does not end in time.
  void run_to_end();

 private:
  boost::asio::io_context context_;
  std::unique_ptr<runtime::Runtime> runtime_;
};

}  // namespace cairnhollow::tests
