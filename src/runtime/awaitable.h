// The coroutine return type used throughout the project.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace cairnhollow {

template <class T>
using Awaitable = boost::asio::awaitable<T>;

}  // namespace cairnhollow
