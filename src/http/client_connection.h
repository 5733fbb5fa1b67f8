// The client's end of one keep-alive HTTP connection.
#pragma once

#include <memory>
#include <string>

#include "http/message_parser.h"
#include "runtime/asio/byte_stream.h"
#include "runtime/http.h"

namespace cairnhollow::http {

/// Closes on every failed exchange, on an answer that is short, late, malformed or followed by bytes that
/// nobody asked for, and when the server closes or says that it will.
class ClientConnection : public runtime::HttpConnection,
                         public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(boost::asio::ip::tcp::socket socket, MessageLimits limits);
  ~ClientConnection() override;

  Awaitable<std::optional<runtime::HttpResponse>> exchange(runtime::HttpRequest request, TimePoint deadline,
                                                           runtime::SendState& sent, Reason& reason) override;
  [[nodiscard]] bool is_open() const override;
  void close() override;
  bool reset_on_close(Reason& reason) override;
  [[nodiscard]] std::string peer() const override { return stream_->peer(); }

 private:
  bool begin(const runtime::HttpRequest& request, TimePoint deadline, Reason& reason);
  /// The next response that is not an interim one; empty once the stream is closed with the reason.
  Awaitable<std::optional<runtime::HttpResponse>> receive();
  /// The response that the parser has read whole; closes the stream when no other may follow.
  std::optional<runtime::HttpResponse> take_response();
  void fail(ReasonCode code, std::string detail);

  std::shared_ptr<runtime::ByteStream> stream_;
  std::unique_ptr<ResponseParser> parser_;
  std::string out_;  ///< reused from request to request
  bool in_exchange_ = false;
};

}  // namespace cairnhollow::http
