// What a fuzzer's property rests on: a broken one ends the process, which the fuzzer takes for a crash.
#pragma once

#include <cstdio>
#include <cstdlib>

namespace cairnhollow::fuzz {

inline void expect(bool holds, const char* property) {
  if (holds) return;
  std::fprintf(stderr, "broken: %s\n", property);
  std::abort();
}

}  // namespace cairnhollow::fuzz
