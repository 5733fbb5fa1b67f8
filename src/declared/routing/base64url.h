// Base64 encoding with the URL-safe alphabet and without padding (RFC 4648, section 5).
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cairnhollow::declared::routing {

std::string encode_base64url(std::string_view bytes);
/// Returns std::nullopt if the text contains other characters, has an impossible length or has non-zero
/// unused bits.
std::optional<std::string> decode_base64url(std::string_view text);

}  // namespace cairnhollow::declared::routing
