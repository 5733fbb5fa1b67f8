// Words of the line protocol, as callers and backends send them.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "fuzz/expect.h"
#include "platform/wire_words.h"

namespace cairnhollow::fuzz {

namespace {

void check(std::string_view line) {
  std::string_view rest = line;
  const std::string_view word = platform::take_word(rest);
  const auto statement = platform::parse_statement(word, rest);
  expect(statement.id == word && statement.text == rest, "a statement is passed on as it came");
  if (const auto position = platform::parse_position(word))
    expect(platform::parse_position(platform::print_position(position)) == position, "positions read again");
  if (const auto state = platform::parse_state(word))
    expect(platform::state_code(*state) == word, "states read again");
  if (const auto refusal = platform::parse_refusal_code(word))
    expect(platform::refusal_code(*refusal) == word, "refusals read again");
}

}  // namespace

}  // namespace cairnhollow::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  cairnhollow::fuzz::check(std::string_view(reinterpret_cast<const char*>(data), size));
  return 0;
}
