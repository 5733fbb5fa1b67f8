#include "http/message_writer.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <string_view>

namespace cairnhollow::http {

using runtime::HttpHeaders;
using runtime::HttpMethod;

namespace {

std::string_view method_name(HttpMethod method) {
  switch (method) {
    case HttpMethod::kGet:
      return "GET";
    case HttpMethod::kPost:
      return "POST";
    case HttpMethod::kPut:
      return "PUT";
    case HttpMethod::kPatch:
      return "PATCH";
    case HttpMethod::kDelete:
      return "DELETE";
  }
  return "GET";
}

constexpr std::size_t kCharacters = 256;
using CharacterTable = std::array<bool, kCharacters>;

/// The characters of a field's name (RFC 9110, section 5.6.2).
constexpr CharacterTable make_token_table() {
  CharacterTable table{};
  for (std::size_t code = 'a'; code <= 'z'; ++code) table[code] = true;
  for (std::size_t code = 'A'; code <= 'Z'; ++code) table[code] = true;
  for (std::size_t code = '0'; code <= '9'; ++code) table[code] = true;
  for (const char character : std::string_view("!#$%&'*+-.^_`|~")) {
    table[static_cast<unsigned char>(character)] = true;
  }
  return table;
}
constexpr CharacterTable kTokenCharacters = make_token_table();

bool is_token_character(char character) { return kTokenCharacters[static_cast<unsigned char>(character)]; }

bool is_control_character(char character) {
  const auto code = static_cast<unsigned char>(character);
  return (code < 0x20 && character != '\t') || code == 0x7F;
}

bool is_field_name(std::string_view name) {
  return !name.empty() && std::all_of(name.begin(), name.end(), is_token_character);
}

bool is_field_value(std::string_view value) {
  return std::none_of(value.begin(), value.end(), is_control_character);
}

bool is_target(std::string_view target) {
  const auto ends_target = [](char character) {
    return is_control_character(character) || character == ' ' || character == '\t';
  };
  return !target.empty() && std::none_of(target.begin(), target.end(), ends_target);
}

bool are_fields(const HttpHeaders& headers) {
  return std::all_of(headers.fields.begin(), headers.fields.end(), [](const auto& field) {
    return is_field_name(field.first) && is_field_value(field.second);
  });
}

bool is_decided_by_connection(std::string_view name) {
  return name == "connection" || name == "content-length" || name == "host" || name == "transfer-encoding";
}

void append_fields(std::string& out, const HttpHeaders& headers) {
  for (const auto& [name, value] : headers.fields) {
    if (is_decided_by_connection(name)) continue;
    out.append(name).append(": ").append(value).append("\r\n");
  }
}

void append_length_and_body(std::string& out, const std::string& body) {
  out.append("content-length: ").append(std::to_string(body.size())).append("\r\n\r\n");
  out += body;
}

/// Responses of these have no body (RFC 9110, section 6.4.1).
bool is_without_body(unsigned status) { return status < 200 || status == 204 || status == 304; }

}  // namespace

bool append_request(std::string& out, const runtime::HttpRequest& request, const std::string& host) {
  if (!is_target(request.target) || !are_fields(request.headers)) return false;
  out.append(method_name(request.method)).append(" ").append(request.target).append(" HTTP/1.1\r\n");
  out.append("host: ").append(host).append("\r\n");
  append_fields(out, request.headers);
  append_length_and_body(out, request.body);
  return true;
}

bool append_response(std::string& out, const runtime::HttpResponse& response, bool keep_alive) {
  if (!are_fields(response.headers)) return false;
  const auto phrase = boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(response.status));
  out.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
  out.append(phrase.data(), phrase.size()).append("\r\n");
  append_fields(out, response.headers);
  if (!keep_alive) out.append("connection: close\r\n");
  if (is_without_body(response.status)) {
    out.append("\r\n");
  } else {
    append_length_and_body(out, response.body);
  }
  return true;
}

}  // namespace cairnhollow::http
