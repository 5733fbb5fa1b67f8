// The target of a request in origin form (RFC 9112, section 3.2.1), taken apart and percent-decoded.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cairnhollow::http {

struct RequestTarget {
  std::vector<std::string> segments;              ///< of the path
  std::map<std::string, std::string> parameters;  ///< of the query; the last of equal keys counts

  /// Empty when the query does not have the parameter.
  [[nodiscard]] std::string parameter(const std::string& name) const;
};

/// Empty when the text is no origin form.
std::optional<RequestTarget> parse_request_target(const std::string& text);

}  // namespace cairnhollow::http
