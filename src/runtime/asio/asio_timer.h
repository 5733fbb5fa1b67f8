// Timer based on Boost.Asio's steady clock.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include "runtime/runtime.h"

namespace cairnhollow::runtime {

/// Returns the steady clock's time as a TimePoint.
inline TimePoint steady_now() { return TimePoint(std::chrono::steady_clock::now().time_since_epoch()); }

/// Converts a TimePoint to the steady clock's type.
inline std::chrono::steady_clock::time_point to_steady(TimePoint time) {
  return std::chrono::steady_clock::time_point(time.time_since_epoch());
}

class AsioTimer : public Timer {
 public:
  explicit AsioTimer(const boost::asio::any_io_executor& executor) : timer_(executor) {}

  Awaitable<bool> wait_until(TimePoint deadline) override;
  void cancel() override { timer_.cancel(); }

 private:
  boost::asio::steady_timer timer_;
};

}  // namespace cairnhollow::runtime
