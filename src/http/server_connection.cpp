#include "http/server_connection.h"

#include "http/message_writer.h"
#include "http/problem.h"
#include "runtime/asio/asio_timer.h"

namespace cairnhollow::http {

using runtime::HttpRequest;
using runtime::HttpResponse;

namespace {

/// An idle connection keeps a response buffer up to this size.
constexpr std::size_t kKeptResponseBytes = std::size_t{4} * 1024;
/// How long a refused client may go on sending before its connection is cut.
constexpr Duration kRefusalLinger = std::chrono::seconds(1);

constexpr unsigned kBadRequest = 400;
constexpr unsigned kContentTooLarge = 413;
constexpr unsigned kHeaderFieldsTooLarge = 431;
constexpr unsigned kInternalServerError = 500;

unsigned status_of(ParseFault fault) {
  switch (fault) {
    case ParseFault::kHeaderTooLarge:
      return kHeaderFieldsTooLarge;
    case ParseFault::kBodyTooLarge:
      return kContentTooLarge;
    case ParseFault::kNone:
    case ParseFault::kMalformed:
      break;
  }
  return kBadRequest;
}

HttpResponse refusal(unsigned status, ReasonCode code, std::string step, std::string detail) {
  Problem problem;
  problem.reason = Reason{code, std::move(step), "", std::move(detail)};
  return make_problem_response(status, problem);
}

}  // namespace

ServerConnection::ServerConnection(boost::asio::ip::tcp::socket socket,
                                   std::shared_ptr<ConnectionOwner> owner, runtime::HttpConnectionId id,
                                   const HttpTransportSettings& settings)
    : stream_(std::make_shared<runtime::ByteStream>(std::move(socket))),
      owner_(std::move(owner)),
      id_(id),
      settings_(settings),
      parser_(make_request_parser(settings.limits)) {}

void ServerConnection::close() {
  stream_->close({ReasonCode::kCancelled, "serve", stream_->peer(), "the server was closed"});
}

Awaitable<void> ServerConnection::run() {
  const auto self = shared_from_this();
  stream_->start([owner = owner_, id = id_] { owner->connection_ended(id); });
  bool keep_alive = true;
  while (keep_alive && stream_->is_open()) {
    auto request = co_await receive_request();
    if (!request) break;
    const bool client_keeps_alive = parser_->keep_alive();
    HttpResponse response = co_await owner_->answer(std::move(*request), id_);
    keep_alive = client_keeps_alive && !response.close_connection && !owner_->stopping();
    const bool sent = co_await send(std::move(response), keep_alive);
    if (!sent) break;
  }
  co_await refuse_unreadable();
  stream_->close({ReasonCode::kNone, "", "", ""});
}

Awaitable<std::optional<HttpRequest>> ServerConnection::receive_request() {
  stream_->set_deadline(runtime::steady_now() + settings_.idle_timeout);
  bool in_request = false;
  bool continued = false;
  while (stream_->is_open()) {
    stream_->consume(parser_->feed(stream_->unread()));
    if (parser_->fault() != ParseFault::kNone) break;
    if (parser_->done()) {
      stream_->clear_deadline();
      co_return parser_->take();
    }
    if (!in_request && (parser_->started() || !stream_->unread().empty())) {
      in_request = true;
      stream_->set_deadline(runtime::steady_now() + settings_.request_read_timeout);
    }
    co_await continue_if_expected(continued);
    co_await stream_->wait_for_bytes();
  }
  co_return std::nullopt;
}

Awaitable<void> ServerConnection::continue_if_expected(bool& continued) {
  if (continued || !parser_->expects_continue()) co_return;
  continued = true;
  bool any_sent = false;
  co_await stream_->write("HTTP/1.1 100 Continue\r\n\r\n", any_sent);
}

Awaitable<bool> ServerConnection::send(HttpResponse response, bool keep_alive) {
  out_.clear();
  if (!append_response(out_, response, keep_alive)) {
    const auto replacement = refusal(kInternalServerError, ReasonCode::kInternal, "send_response",
                                     "the response's header was malformed");
    append_response(out_, replacement, keep_alive);
  }
  stream_->set_deadline(runtime::steady_now() + settings_.response_write_timeout);
  bool any_sent = false;
  const bool sent = co_await stream_->write(out_, any_sent);
  stream_->clear_deadline();
  if (out_.capacity() > kKeptResponseBytes) out_ = std::string();
  co_return sent;
}

Awaitable<void> ServerConnection::refuse_unreadable() {
  const ParseFault fault = parser_->fault();
  if (fault == ParseFault::kNone || !stream_->is_open()) co_return;
  HttpResponse response =
      refusal(status_of(fault), ReasonCode::kInvalidArgument, "read_request", parser_->fault_detail());
  const bool sent = co_await send(std::move(response), false);
  if (!sent) co_return;
  // Closing with bytes unread would reset the connection, and the client might never see the answer.
  stream_->set_deadline(runtime::steady_now() + kRefusalLinger);
  co_await stream_->finish();
}

}  // namespace cairnhollow::http
