#include "http/message_parser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <optional>

#include "http/host_field.h"

namespace cairnhollow::http {

namespace beast = boost::beast;
using beast::error_code;
using runtime::HttpMethod;
using runtime::HttpRequest;
using runtime::HttpResponse;

namespace {

/// A body's announced length is believed up to here when room is taken for it.
constexpr std::uint64_t kBodyReservationBytes = std::uint64_t{64} * 1024;

std::optional<HttpMethod> to_method(beast::http::verb verb) {
  switch (verb) {
    case beast::http::verb::get:
      return HttpMethod::kGet;
    case beast::http::verb::post:
      return HttpMethod::kPost;
    case beast::http::verb::put:
      return HttpMethod::kPut;
    case beast::http::verb::patch:
      return HttpMethod::kPatch;
    case beast::http::verb::delete_:
      return HttpMethod::kDelete;
    default:
      return std::nullopt;
  }
}

std::string to_lower(std::string_view text) {
  std::string lower(text);
  for (char& letter : lower) {
    if (letter >= 'A' && letter <= 'Z') letter = static_cast<char>(letter - 'A' + 'a');
  }
  return lower;
}

/// Fills a Message from Beast's parser, without Beast's own containers in between.
template <class Message>
class BeastParser : public beast::http::basic_parser<std::is_same_v<Message, HttpRequest>> {
 public:
  explicit BeastParser(MessageLimits limits) {
    this->eager(true);
    this->header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    this->body_limit(limits.body_bytes);
  }

  Message message;
  std::string refused_host;  ///< what is wrong with a request's Host field; empty: nothing

 private:
  using BeastView = beast::string_view;

  void on_request_impl(beast::http::verb verb, BeastView, BeastView target, int version,
                       error_code& error) override {
    version_ = version;
    if constexpr (std::is_same_v<Message, HttpRequest>) {
      const auto method = to_method(verb);
      if (!method) error = beast::http::error::bad_method;
      message.method = method.value_or(HttpMethod::kGet);
      message.target = std::string(target);
    }
  }
  void on_response_impl(int status, BeastView, int, error_code&) override {
    if constexpr (std::is_same_v<Message, HttpResponse>) message.status = static_cast<unsigned>(status);
  }
  void on_field_impl(beast::http::field kind, BeastView name, BeastView value, error_code&) override {
    if (kind == beast::http::field::host) hosts_.add({value.data(), value.size()});
    auto [field, added] = message.headers.fields.try_emplace(to_lower({name.data(), name.size()}), value);
    // Fields of one name are one list (RFC 9110, section 5.3).
    if (!added) field->second.append(", ").append(value.data(), value.size());
  }
  void on_header_impl(error_code& error) override {
    if constexpr (std::is_same_v<Message, HttpRequest>) {
      refused_host = host_fault(hosts_, version_);
      if (!refused_host.empty()) error = beast::http::error::bad_field;
    } else if (this->need_eof()) {
      error = beast::http::error::bad_content_length;
    }
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code&) override {
    message.body.reserve(std::min(length.value_or(0), kBodyReservationBytes));
  }
  std::size_t on_body_impl(BeastView part, error_code&) override {
    message.body.append(part.data(), part.size());
    return part.size();
  }
  void on_chunk_header_impl(std::uint64_t, BeastView, error_code&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, BeastView part, error_code&) override {
    message.body.append(part.data(), part.size());
    return part.size();
  }
  void on_finish_impl(error_code&) override {}

  int version_ = 0;
  HostFields hosts_;
};

ParseFault to_fault(error_code error) {
  if (error == beast::http::error::header_limit) return ParseFault::kHeaderTooLarge;
  if (error == beast::http::error::body_limit) return ParseFault::kBodyTooLarge;
  return ParseFault::kMalformed;
}

template <class Message>
class MessageParserImplementation : public MessageParser<Message> {
 public:
  explicit MessageParserImplementation(MessageLimits limits) : limits_(limits) { parser_.emplace(limits_); }

  std::size_t feed(std::string_view bytes) override;
  [[nodiscard]] bool started() const override { return parser_->got_some(); }
  [[nodiscard]] bool done() const override { return parser_->is_done() && fault_ == ParseFault::kNone; }
  [[nodiscard]] ParseFault fault() const override { return fault_; }
  [[nodiscard]] std::string fault_detail() const override {
    return parser_->refused_host.empty() ? error_.message() : parser_->refused_host;
  }
  [[nodiscard]] bool keep_alive() const override { return keep_alive_; }
  [[nodiscard]] bool expects_continue() const override;
  Message take() override;

 private:
  MessageLimits limits_;
  std::optional<BeastParser<Message>> parser_;  ///< Beast's parsers serve one message each
  ParseFault fault_ = ParseFault::kNone;
  error_code error_;
  bool keep_alive_ = false;
};

template <class Message>
std::size_t MessageParserImplementation<Message>::feed(std::string_view bytes) {
  std::size_t used = 0;
  while (used < bytes.size() && !parser_->is_done() && fault_ == ParseFault::kNone) {
    error_code error;
    const auto rest = bytes.substr(used);
    const std::size_t count = parser_->put(boost::asio::buffer(rest.data(), rest.size()), error);
    used += count;
    if (error == beast::http::error::need_more) break;
    if (error) {
      error_ = error;
      fault_ = to_fault(error);
    } else if (count == 0) {
      break;
    }
  }
  return used;
}

template <class Message>
bool MessageParserImplementation<Message>::expects_continue() const {
  if (!parser_->is_header_done() || parser_->is_done()) return false;
  const auto expectation = parser_->message.headers.find("expect");
  return expectation && to_lower(*expectation) == "100-continue";
}

template <class Message>
Message MessageParserImplementation<Message>::take() {
  keep_alive_ = parser_->keep_alive();
  Message message = std::move(parser_->message);
  parser_.emplace(limits_);
  return message;
}

}  // namespace

std::unique_ptr<RequestParser> make_request_parser(MessageLimits limits) {
  return std::make_unique<MessageParserImplementation<HttpRequest>>(limits);
}

std::unique_ptr<ResponseParser> make_response_parser(MessageLimits limits) {
  return std::make_unique<MessageParserImplementation<HttpResponse>>(limits);
}

}  // namespace cairnhollow::http
