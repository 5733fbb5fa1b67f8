// Text form of durations in manifests: a whole number and a unit, such as "500ms", "5s", "2m" or "1h".
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cairnhollow::declared::config {

/// Returns milliseconds; std::nullopt if the text is malformed or the value overflows.
std::optional<std::uint64_t> parse_milliseconds(const std::string& text);
/// Formats a duration in milliseconds in the largest unit that needs no fraction.
std::string format_milliseconds(std::uint64_t milliseconds);

}  // namespace cairnhollow::declared::config
