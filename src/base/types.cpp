#include "base/types.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <charconv>

namespace cairnhollow {

namespace {

bool is_ip_address(const std::string& text, int family) {
  in6_addr binary{};
  return inet_pton(family, text.c_str(), &binary) == 1;
}

}  // namespace

std::string Endpoint::to_string() const {
  const bool is_ipv6 = address.find(':') != std::string::npos;
  return is_ipv6 ? fmt::format("[{}]:{}", address, port) : fmt::format("{}:{}", address, port);
}

std::optional<Endpoint> parse_endpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return std::nullopt;
  Endpoint endpoint;
  endpoint.address = text.substr(0, colon);
  const bool bracketed = endpoint.address.front() == '[' && endpoint.address.back() == ']';
  if (bracketed) endpoint.address = endpoint.address.substr(1, endpoint.address.size() - 2);
  if (!is_ip_address(endpoint.address, bracketed ? AF_INET6 : AF_INET)) return std::nullopt;
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(first, last, endpoint.port);
  if (error != std::errc{} || end != last) return std::nullopt;
  return endpoint;
}

std::optional<std::string> LabelSet::find(const std::string& key) const {
  const auto entry = entries.find(key);
  if (entry == entries.end()) return std::nullopt;
  return entry->second;
}

}  // namespace cairnhollow
