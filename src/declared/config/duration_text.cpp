#include "declared/config/duration_text.h"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <limits>
#include <string_view>

namespace cairnhollow::declared::config {

namespace {

struct Unit {
  std::string_view name;
  std::uint64_t milliseconds;
};
constexpr std::array<Unit, 4> kUnits = {{{"h", 3'600'000}, {"m", 60'000}, {"s", 1'000}, {"ms", 1}}};

}  // namespace

std::optional<std::uint64_t> parse_milliseconds(const std::string& text) {
  std::uint64_t count = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, count);
  if (error != std::errc{}) return std::nullopt;
  const std::string_view name(end, static_cast<std::size_t>(last - end));
  for (const auto& unit : kUnits) {
    if (unit.name != name) continue;
    if (count > std::numeric_limits<std::uint64_t>::max() / unit.milliseconds) return std::nullopt;
    return count * unit.milliseconds;
  }
  return std::nullopt;
}

std::string format_milliseconds(std::uint64_t milliseconds) {
  if (milliseconds == 0) return "0s";
  for (const auto& unit : kUnits) {
    if (milliseconds % unit.milliseconds == 0) {
      return fmt::format("{}{}", milliseconds / unit.milliseconds, unit.name);
    }
  }
  return fmt::format("{}ms", milliseconds);
}

}  // namespace cairnhollow::declared::config
