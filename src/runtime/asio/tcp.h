// TCP sockets for the frame, line and HTTP transports: connect with a deadline, listen, accept.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <optional>
#include <string>

#include "base/reason.h"
#include "base/types.h"
#include "runtime/awaitable.h"

namespace cairnhollow::runtime {

/// Pause before accepting again after an accept failed because no file descriptors were available.
inline constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);

/// Connects a socket with Nagle's algorithm disabled. Fails with kUnreachable, kDeadlineExceeded or
/// kInvalidArgument.
Awaitable<std::optional<boost::asio::ip::tcp::socket>> connect_tcp(boost::asio::any_io_executor executor,
                                                                   Endpoint endpoint, TimePoint deadline,
                                                                   Reason& reason);

/// Opens a listening socket with SO_REUSEADDR, so that the address can be bound again right after a restart.
std::optional<boost::asio::ip::tcp::acceptor> listen_tcp(const boost::asio::any_io_executor& executor,
                                                         const Endpoint& endpoint, Reason& reason);

/// Accepts the next connection and disables Nagle's algorithm on it. Pauses and retries when no file
/// descriptors are available. Fails with kCancelled once the acceptor is closed.
Awaitable<std::optional<boost::asio::ip::tcp::socket>> accept_tcp(boost::asio::ip::tcp::acceptor& acceptor,
                                                                  Reason& reason);

/// Makes the kernel reset the connection and discard unsent and unacknowledged data whenever the socket is
/// closed, including by the end of the process, and once data or a keep-alive probe has been unacknowledged
/// for kResetUnacknowledgedAfter. Returns the error of the first option that could not be set.
boost::system::error_code enable_reset_on_close(boost::asio::ip::tcp::socket& socket);

/// The same without probes, so that a connection without unacknowledged data stays open.
boost::system::error_code enable_discard_on_close(boost::asio::ip::tcp::socket& socket);

Endpoint to_endpoint(const boost::asio::ip::tcp::endpoint& endpoint);

/// Returns "address:port" of the peer, or "unknown" if the connection is closed already.
std::string peer_name(const boost::asio::ip::tcp::socket& socket);

}  // namespace cairnhollow::runtime
