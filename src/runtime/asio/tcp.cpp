#include "runtime/asio/tcp.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cerrno>

#include "runtime/asio/asio_timer.h"
#include "runtime/asio/lazy_deadline.h"
#include "runtime/http.h"

namespace cairnhollow::runtime {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::chrono::seconds kKeepAliveInterval{1};

std::optional<tcp::endpoint> to_tcp(const Endpoint& endpoint) {
  error_code error;
  const auto address = asio::ip::make_address(endpoint.address, error);
  if (error) return std::nullopt;
  return tcp::endpoint(address, endpoint.port);
}

Reason bad_address(std::string step, const Endpoint& endpoint) {
  return Reason{ReasonCode::kInvalidArgument, std::move(step), endpoint.to_string(), "not an IP address"};
}

/// Sets a socket option past Asio, whose sockets take back an SO_LINGER that they know of when they are
/// destroyed.
template <class Value>
void set_native_option(tcp::socket& socket, int level, int name, const Value& value, error_code& error) {
  if (error || ::setsockopt(socket.native_handle(), level, name, &value, sizeof value) == 0) return;
  error.assign(errno, boost::system::system_category());
}

}  // namespace

Awaitable<std::optional<tcp::socket>> connect_tcp(asio::any_io_executor executor, Endpoint endpoint,
                                                  TimePoint deadline, Reason& reason) {
  const auto target = to_tcp(endpoint);
  if (!target) {
    reason = bad_address("open_connection", endpoint);
    co_return std::nullopt;
  }
  tcp::socket socket(executor);
  bool expired = false;
  LazyDeadline timeout(executor, [&] {
    expired = true;
    error_code ignored;
    socket.close(ignored);
  });
  timeout.set(deadline);
  error_code error;
  co_await socket.async_connect(*target, asio::redirect_error(asio::use_awaitable, error));
  timeout.cancel();
  if (expired) {
    reason = Reason{ReasonCode::kDeadlineExceeded, "open_connection", endpoint.to_string(),
                    "connection not established before the deadline"};
    co_return std::nullopt;
  }
  if (!error) socket.set_option(tcp::no_delay(true), error);
  if (error) {
    reason = Reason{ReasonCode::kUnreachable, "open_connection", endpoint.to_string(), error.message(),
                    error == asio::error::connection_refused};
    co_return std::nullopt;
  }
  co_return std::move(socket);
}

std::optional<tcp::acceptor> listen_tcp(const asio::any_io_executor& executor, const Endpoint& endpoint,
                                        Reason& reason) {
  const auto address = to_tcp(endpoint);
  if (!address) {
    reason = bad_address("listen", endpoint);
    return std::nullopt;
  }
  tcp::acceptor acceptor(executor);
  error_code error;
  acceptor.open(address->protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(*address, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    reason = Reason{ReasonCode::kUnreachable, "listen", endpoint.to_string(), error.message()};
    return std::nullopt;
  }
  return acceptor;
}

Awaitable<std::optional<tcp::socket>> accept_tcp(tcp::acceptor& acceptor, Reason& reason) {
  while (acceptor.is_open()) {
    tcp::socket socket(acceptor.get_executor());
    error_code error;
    co_await acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      socket.set_option(tcp::no_delay(true), error);
      co_return std::move(socket);
    }
    if (error == asio::error::operation_aborted) break;
    AsioTimer retry_timer(acceptor.get_executor());
    co_await retry_timer.wait_until(steady_now() + kAcceptRetryDelay);
  }
  reason = Reason{ReasonCode::kCancelled, "accept", "", "the listener was closed"};
  co_return std::nullopt;
}

error_code enable_discard_on_close(tcp::socket& socket) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  constexpr linger kDiscard{1, 0};
  constexpr auto kUserTimeout =
      static_cast<unsigned>(duration_cast<milliseconds>(kResetUnacknowledgedAfter).count());
  error_code error;
  set_native_option(socket, SOL_SOCKET, SO_LINGER, kDiscard, error);
  set_native_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeout, error);
  return error;
}

error_code enable_reset_on_close(tcp::socket& socket) {
  constexpr auto kInterval = static_cast<int>(kKeepAliveInterval.count());
  constexpr auto kProbes = static_cast<int>(kResetUnacknowledgedAfter / kKeepAliveInterval);
  error_code error = enable_discard_on_close(socket);
  set_native_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, kInterval, error);
  set_native_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, kInterval, error);
  set_native_option(socket, IPPROTO_TCP, TCP_KEEPCNT, kProbes, error);
  set_native_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1, error);
  return error;
}

Endpoint to_endpoint(const tcp::endpoint& endpoint) {
  return Endpoint{endpoint.address().to_string(), endpoint.port()};
}

std::string peer_name(const tcp::socket& socket) {
  error_code error;
  const auto remote = socket.remote_endpoint(error);
  return error ? "unknown" : to_endpoint(remote).to_string();
}

}  // namespace cairnhollow::runtime
