#include "declared/routing/base64url.h"

#include <array>
#include <cstdint>

namespace cairnhollow::declared::routing {

namespace {

constexpr std::string_view kAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr unsigned kBitsPerCharacter = 6;
constexpr unsigned kBitsPerByte = 8;
constexpr std::int8_t kNotInAlphabet = -1;

constexpr std::array<std::int8_t, 256> make_decoding_table() {
  std::array<std::int8_t, 256> values{};
  values.fill(kNotInAlphabet);
  for (std::size_t place = 0; place < kAlphabet.size(); ++place) {
    values[static_cast<unsigned char>(kAlphabet[place])] = static_cast<std::int8_t>(place);
  }
  return values;
}

constexpr std::array<std::int8_t, 256> kDecodingTable = make_decoding_table();

}  // namespace

std::string encode_base64url(std::string_view bytes) {
  std::string text;
  text.reserve((bytes.size() * 4 + 2) / 3);
  std::uint32_t buffer = 0;
  unsigned bits = 0;
  for (const char byte : bytes) {
    buffer = (buffer << kBitsPerByte) | static_cast<unsigned char>(byte);
    bits += kBitsPerByte;
    while (bits >= kBitsPerCharacter) {
      bits -= kBitsPerCharacter;
      text.push_back(kAlphabet[(buffer >> bits) & 63U]);
    }
  }
  if (bits > 0) text.push_back(kAlphabet[(buffer << (kBitsPerCharacter - bits)) & 63U]);
  return text;
}

std::optional<std::string> decode_base64url(std::string_view text) {
  if (text.size() % 4 == 1) return std::nullopt;
  std::string bytes;
  bytes.reserve(text.size() * 3 / 4);
  std::uint32_t buffer = 0;
  unsigned bits = 0;
  for (const char character : text) {
    const auto value = kDecodingTable[static_cast<unsigned char>(character)];
    if (value == kNotInAlphabet) return std::nullopt;
    buffer = (buffer << kBitsPerCharacter) | static_cast<std::uint32_t>(value);
    bits += kBitsPerCharacter;
    if (bits < kBitsPerByte) continue;
    bits -= kBitsPerByte;
    bytes.push_back(static_cast<char>((buffer >> bits) & 255U));
  }
  const std::uint32_t unused = buffer & ((1U << bits) - 1U);
  if (unused != 0) return std::nullopt;
  return bytes;
}

}  // namespace cairnhollow::declared::routing
