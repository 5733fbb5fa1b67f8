// The real HttpTransport: HTTP/1.1 by Boost.Beast. Only .cpp files of this folder include Beast.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <cstddef>
#include <memory>

#include "runtime/http.h"
#include "runtime/runtime.h"

namespace cairnhollow::http {

/// What one message may be at most. A request above a limit is answered with 431 or 413, a response above
/// it ends the connection.
struct MessageLimits {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{16} * 1024 * 1024;
};

struct HttpTransportSettings {
  MessageLimits limits;
  Duration idle_timeout = std::chrono::seconds(90);  ///< server: no request begun; then closed
  Duration request_read_timeout =
      std::chrono::seconds(10);  ///< server: from a request's first byte to its last
  Duration response_write_timeout =
      std::chrono::seconds(30);  ///< server: the client takes no bytes; then closed
};

/// `runtime` supplies clock and timers, and outlives the transport.
std::unique_ptr<runtime::HttpTransport> make_http_transport(boost::asio::any_io_executor executor,
                                                            runtime::Runtime& runtime,
                                                            HttpTransportSettings settings = {});

}  // namespace cairnhollow::http
