#include "wire/format.h"

#include <fmt/format.h>

namespace cairnhollow::wire {

namespace {

/// The first byte of cereal's portable binary archive written on a little-endian machine.
constexpr std::string_view kUnmarked("\1", 1);
constexpr std::string_view kMark("\2CHF", 4);
constexpr std::size_t kFormatLength = 4;

}  // namespace

std::string format_mark(Format format) {
  if (format < kMarkedFormat) return std::string(kUnmarked);
  std::string mark(kMark);
  for (std::size_t byte = 0; byte < kFormatLength; ++byte) {
    mark.push_back(static_cast<char>(format >> (8 * byte) & 0xff));
  }
  return mark;
}

std::optional<Format> marked_format(std::string_view bytes) {
  if (!bytes.starts_with(kMark) || bytes.size() < kMark.size() + kFormatLength) return std::nullopt;
  Format format = 0;
  for (std::size_t byte = 0; byte < kFormatLength; ++byte) {
    format |= static_cast<Format>(static_cast<unsigned char>(bytes[kMark.size() + byte])) << (8 * byte);
  }
  return format;
}

std::optional<std::string> unreadable_format(std::string_view bytes) {
  const auto format = marked_format(bytes);
  if (!format || *format <= kNewestFormat) return std::nullopt;
  return fmt::format("written in format {}, and this build reads formats up to {}: run the newer build",
                     *format, kNewestFormat);
}

}  // namespace cairnhollow::wire
