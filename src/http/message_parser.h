// Reads HTTP/1.1 messages (RFC 9112) out of a stream of bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "http/http_transport.h"
#include "runtime/http.h"

namespace cairnhollow::http {

enum class ParseFault : std::uint8_t { kNone, kMalformed, kHeaderTooLarge, kBodyTooLarge };

/// One message after another; `Message` is HttpRequest or HttpResponse.
template <class Message>
class MessageParser {
 public:
  virtual ~MessageParser() = default;
  /// Takes bytes and returns how many it used; the caller offers the rest again together with what follows.
  /// Stops at the end of a message and at the first fault.
  virtual std::size_t feed(std::string_view bytes) = 0;
  /// Some of a message was taken in.
  [[nodiscard]] virtual bool started() const = 0;
  [[nodiscard]] virtual bool done() const = 0;
  [[nodiscard]] virtual ParseFault fault() const = 0;
  /// What is wrong, for people.
  [[nodiscard]] virtual std::string fault_detail() const = 0;
  /// The connection may carry another message after the one last taken.
  [[nodiscard]] virtual bool keep_alive() const = 0;
  /// The sender waits for "100 Continue" before it sends the body.
  [[nodiscard]] virtual bool expects_continue() const = 0;
  /// The whole message; only once done(). Makes the parser ready for the next one.
  virtual Message take() = 0;
};

using RequestParser = MessageParser<runtime::HttpRequest>;
using ResponseParser = MessageParser<runtime::HttpResponse>;

/// Methods that HttpMethod does not name are kMalformed.
std::unique_ptr<RequestParser> make_request_parser(MessageLimits limits);
/// A response that tells no length is kMalformed: it could not be told from one that was cut.
std::unique_ptr<ResponseParser> make_response_parser(MessageLimits limits);

}  // namespace cairnhollow::http
