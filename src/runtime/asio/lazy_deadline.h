// A deadline that is moved often and rarely expires.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "base/types.h"

namespace cairnhollow::runtime {

/// Calls back once when the deadline passes. Moving it later or clearing it needs no timer operation: the
/// timer already armed checks the deadline when it fires and is armed again.
class LazyDeadline {
 public:
  /// `on_expired` is called on the executor, never from within set().
  LazyDeadline(const boost::asio::any_io_executor& executor, std::function<void()> on_expired);
  LazyDeadline(const LazyDeadline&) = delete;
  LazyDeadline& operator=(const LazyDeadline&) = delete;

  void set(TimePoint deadline);
  void clear() { deadline_ = TimePoint::max(); }
  /// Also cancels the armed timer, so that it does not keep the executor running. The deadline may be set
  /// again.
  void cancel();

 private:
  void arm();
  void on_timer();

  boost::asio::steady_timer timer_;
  std::function<void()> on_expired_;
  TimePoint deadline_ = TimePoint::max();
  TimePoint armed_until_ = TimePoint::max();
  std::shared_ptr<LazyDeadline*>
      self_;  ///< a late callback detects the destruction of this object by its weak pointer
};

}  // namespace cairnhollow::runtime
