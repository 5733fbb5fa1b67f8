#include "http/request_target.h"

#include <boost/url.hpp>

namespace cairnhollow::http {

std::string RequestTarget::parameter(const std::string& name) const {
  const auto found = parameters.find(name);
  return found == parameters.end() ? "" : found->second;
}

std::optional<RequestTarget> parse_request_target(const std::string& text) {
  const auto url = boost::urls::parse_origin_form(text);
  if (url.has_error()) return std::nullopt;
  RequestTarget target;
  for (const auto& segment : url->segments()) target.segments.push_back(segment);
  for (const auto& parameter : url->params()) {
    target.parameters.insert_or_assign(parameter.key, parameter.value);
  }
  return target;
}

}  // namespace cairnhollow::http
