#include "http/host_field.h"

#include <algorithm>

namespace cairnhollow::http {

namespace {

constexpr int kHttp11 = 11;
/// Reg-names and IPv4 addresses (RFC 3986, section 3.2.2), without letters and digits.
constexpr std::string_view kNamePunctuation = "-._~%!$&'()*+,;=";
constexpr std::string_view kDigits = "0123456789";

bool is_letter_or_digit(char character) {
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9');
}

/// Of an address in brackets: IPv6 and its successors.
bool is_address_character(char character) {
  return is_letter_or_digit(character) || character == ':' || character == '.';
}

bool is_name_character(char character) {
  return is_letter_or_digit(character) || kNamePunctuation.find(character) != std::string_view::npos;
}

/// Empty, or a colon and digits.
bool is_port_part(std::string_view rest) {
  if (rest.empty()) return true;
  return rest.front() == ':' && rest.find_first_not_of(kDigits, 1) == std::string_view::npos;
}

}  // namespace

void HostFields::add(std::string_view value) {
  ++count;
  all_valid = all_valid && is_valid_host(value);
}

bool is_valid_host(std::string_view value) {
  if (!value.empty() && value.front() == '[') {
    const auto close = value.find(']');
    if (close == std::string_view::npos) return false;
    const auto address = value.substr(1, close - 1);
    return !address.empty() && std::all_of(address.begin(), address.end(), is_address_character) &&
           is_port_part(value.substr(close + 1));
  }
  const auto colon = std::min(value.find(':'), value.size());
  const auto name = value.substr(0, colon);
  return std::all_of(name.begin(), name.end(), is_name_character) && is_port_part(value.substr(colon));
}

std::string host_fault(const HostFields& fields, int version) {
  if (fields.count > 1) return "host: given more than once";
  if (!fields.all_valid) return "host: not a host with an optional port";
  if (fields.count == 0 && version >= kHttp11) return "host: missing";
  return "";
}

}  // namespace cairnhollow::http
