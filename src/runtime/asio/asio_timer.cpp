#include "runtime/asio/asio_timer.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cairnhollow::runtime {

Awaitable<bool> AsioTimer::wait_until(TimePoint deadline) {
  timer_.expires_at(to_steady(deadline));
  boost::system::error_code error;
  co_await timer_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
  co_return !error;
}

}  // namespace cairnhollow::runtime
