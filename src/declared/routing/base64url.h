// Base64 with the URL-safe alphabet and without padding (RFC 4648, section 5).
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cairnhollow::declared::routing {

std::string encode_base64url(std::string_view bytes);
/// Empty when the text holds other characters, has an impossible length or unused bits that are not zero.
std::optional<std::string> decode_base64url(std::string_view text);

}  // namespace cairnhollow::declared::routing
