// The Host header field of a request (RFC 9112, section 3.2).
#pragma once

#include <string>
#include <string_view>

namespace cairnhollow::http {

/// What was seen of a request's Host fields while its header was read.
struct HostFields {
  int count = 0;
  bool all_valid = true;

  void add(std::string_view value);
};

/// `uri-host [":" port]` (RFC 9110, section 7.2), by its characters; it may be empty.
bool is_valid_host(std::string_view value);

/// Why a request with these fields must be refused, for people; empty: it is in order. `version` is Beast's,
/// 11 for HTTP/1.1: before it the field was optional.
std::string host_fault(const HostFields& fields, int version);

}  // namespace cairnhollow::http
