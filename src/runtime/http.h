// HTTP requests and responses as typed values (RFC 9110). In production they are carried as HTTP/1.1 by
// Boost.Beast (src/http); the simulator passes the same values without text encoding.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/reason.h"
#include "base/types.h"
#include "runtime/awaitable.h"

namespace cairnhollow::runtime {

enum class HttpMethod : std::uint8_t { kGet, kPost, kPut, kPatch, kDelete };

/// Header fields by lower-case name.
struct HttpHeaders {
  std::map<std::string, std::string> fields;
  [[nodiscard]] std::optional<std::string> find(const std::string& lower_case_name) const {
    const auto field = fields.find(lower_case_name);
    if (field == fields.end()) return std::nullopt;
    return field->second;
  }
};

struct HttpRequest {
  HttpMethod method = HttpMethod::kGet;
  std::string target;  ///< path and query, e.g. "/v1/objects?kind=Proxy"
  HttpHeaders headers;
  std::string body;
};

struct HttpResponse {
  unsigned status = 200;
  HttpHeaders headers;
  std::string body;
  bool close_connection = false;  ///< server side: send "Connection: close" and close after the response
};

/// Whether the peer may have received a request whose exchange failed. Determines whether a retry is safe.
enum class SendState : std::uint8_t { kNotSent, kMaybeSent };

/// A connection that is reset on close is also reset once data that it sent, or a probe that it sends while
/// idle, has not been acknowledged by the peer's machine for this long, even while the process is stopped.
inline constexpr Duration kResetUnacknowledgedAfter = std::chrono::seconds(4);

/// A keep-alive connection to a server, with one exchange at a time.
class HttpConnection {
 public:
  virtual ~HttpConnection() = default;
  /// On failure, including when `deadline` passes, returns std::nullopt, sets `sent`, and closes the
  /// connection, so that a late response can never be taken for that of another exchange.
  virtual Awaitable<std::optional<HttpResponse>> exchange(HttpRequest request, TimePoint deadline,
                                                          SendState& sent, Reason& reason) = 0;
  [[nodiscard]] virtual bool is_open() const = 0;
  virtual void close() = 0;
  /// From now on, however the connection ends on this side (close(), destruction, a failed exchange, a passed
  /// deadline, the end of the process, kResetUnacknowledgedAfter), what the peer's machine has not received
  /// is discarded instead of delivered later, and the connection is reset. Returns false and closes the
  /// connection if that cannot be arranged or the connection is closed already.
  virtual bool reset_on_close(Reason& reason) = 0;
  [[nodiscard]] virtual std::string peer() const = 0;
};

using HttpConnectionId = std::uint64_t;

/// Handles requests. Exchanges of one connection are handled sequentially, connections concurrently.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  virtual Awaitable<HttpResponse> handle(HttpRequest request, HttpConnectionId connection) = 0;
  /// Called once after a client connection has ended, even while one of its requests is being handled.
  virtual void connection_closed(HttpConnectionId /*connection*/) {}
};

class HttpServer {
 public:
  virtual ~HttpServer() = default;
  /// Stops accepting connections. Exchanges in flight are answered with "Connection: close".
  virtual void stop_accepting() = 0;
  /// Closes every connection immediately.
  virtual void close() = 0;
  [[nodiscard]] virtual Endpoint endpoint() const = 0;
};

class HttpTransport {
 public:
  virtual ~HttpTransport() = default;
  /// Returns null on failure.
  virtual Awaitable<std::shared_ptr<HttpConnection>> connect(Endpoint endpoint, TimePoint deadline,
                                                             Reason& reason) = 0;
  /// Returns null on failure. `handler` must outlive the server.
  virtual std::unique_ptr<HttpServer> serve(const Endpoint& endpoint, HttpHandler& handler,
                                            Reason& reason) = 0;
};

}  // namespace cairnhollow::runtime
