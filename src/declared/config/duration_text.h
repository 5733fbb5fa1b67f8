// Durations as people write them in manifests: a whole number and a unit, "500ms", "5s", "2m", "1h".
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cairnhollow::declared::config {

/// Milliseconds; empty for another form or when the value does not fit.
std::optional<std::uint64_t> parse_milliseconds(const std::string& text);
/// In the largest unit that needs no fraction.
std::string format_milliseconds(std::uint64_t milliseconds);

}  // namespace cairnhollow::declared::config
