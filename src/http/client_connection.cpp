#include "http/client_connection.h"

#include "http/message_writer.h"
#include "runtime/asio/asio_timer.h"

namespace cairnhollow::http {

using runtime::HttpRequest;
using runtime::HttpResponse;
using runtime::SendState;

namespace {

/// An idle connection keeps a request buffer up to this size.
constexpr std::size_t kKeptRequestBytes = std::size_t{4} * 1024;
/// Interim responses (RFC 9110, section 15.2) come before the one that answers.
constexpr unsigned kFirstFinalStatus = 200;

}  // namespace

ClientConnection::ClientConnection(boost::asio::ip::tcp::socket socket, MessageLimits limits)
    : stream_(std::make_shared<runtime::ByteStream>(std::move(socket))),
      parser_(make_response_parser(limits)) {
  stream_->start(nullptr);
}

ClientConnection::~ClientConnection() { close(); }

bool ClientConnection::is_open() const {
  return stream_->is_open() && (in_exchange_ || stream_->unread().empty());
}

void ClientConnection::close() {
  stream_->close({ReasonCode::kConnectionLost, "exchange", stream_->peer(), "closed on this side"});
}

bool ClientConnection::reset_on_close(Reason& reason) {
  if (stream_->reset_on_close()) return true;
  reason = stream_->close_reason();
  return false;
}

void ClientConnection::fail(ReasonCode code, std::string detail) {
  stream_->close({code, "exchange", stream_->peer(), std::move(detail)});
}

bool ClientConnection::begin(const HttpRequest& request, TimePoint deadline, Reason& reason) {
  if (in_exchange_) {
    reason =
        Reason{ReasonCode::kInternal, "exchange", peer(), "another exchange is under way on this connection"};
    return false;
  }
  out_.clear();
  if (!stream_->unread().empty()) {
    fail(ReasonCode::kConnectionLost, "the server sent bytes that nobody asked for");
  } else if (runtime::steady_now() >= deadline) {
    fail(ReasonCode::kDeadlineExceeded, "the deadline had passed before the request was sent");
  } else if (!append_request(out_, request, peer())) {
    fail(ReasonCode::kInvalidArgument, "the request's target or a field of its header is malformed");
  }
  if (!stream_->is_open()) reason = stream_->close_reason();
  return stream_->is_open();
}

Awaitable<std::optional<HttpResponse>> ClientConnection::exchange(HttpRequest request, TimePoint deadline,
                                                                  SendState& sent, Reason& reason) {
  const auto self = shared_from_this();
  sent = SendState::kNotSent;
  if (!begin(request, deadline, reason)) co_return std::nullopt;
  in_exchange_ = true;
  stream_->set_deadline(deadline);
  bool any_sent = false;
  co_await stream_->write(out_, any_sent);
  if (any_sent) sent = SendState::kMaybeSent;
  std::optional<HttpResponse> response;
  // Also after a write that broke off: a server may refuse a request before it has read all of it.
  if (any_sent) response = co_await receive();
  in_exchange_ = false;
  stream_->clear_deadline();
  if (out_.capacity() > kKeptRequestBytes) out_ = std::string();
  if (!response) reason = stream_->close_reason();
  co_return response;
}

Awaitable<std::optional<HttpResponse>> ClientConnection::receive() {
  bool more = stream_->is_open() || stream_->ended_by_peer();
  while (more) {
    stream_->consume(parser_->feed(stream_->unread()));
    if (parser_->fault() != ParseFault::kNone) {
      fail(ReasonCode::kConnectionLost, "the answer cannot be read: " + parser_->fault_detail());
      break;
    }
    if (parser_->done()) {
      auto response = take_response();
      if (!response || response->status >= kFirstFinalStatus) co_return response;
      continue;
    }
    if (!stream_->is_open()) break;
    more = co_await stream_->wait_for_bytes();
    // A closing that came together with the last bytes leaves them to be read.
    more = more || stream_->ended_by_peer();
  }
  co_return std::nullopt;
}

std::optional<HttpResponse> ClientConnection::take_response() {
  HttpResponse response = parser_->take();
  if (response.status < kFirstFinalStatus) return response;
  if (!stream_->unread().empty()) {
    fail(ReasonCode::kConnectionLost, "the answer is followed by bytes that nobody asked for");
    return std::nullopt;
  }
  if (!parser_->keep_alive()) close();
  return response;
}

}  // namespace cairnhollow::http
