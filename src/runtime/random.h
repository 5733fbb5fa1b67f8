// Random number generator interface. For the same seed the output is the same on every platform.
#pragma once

#include <cstdint>

#include "base/types.h"

namespace cairnhollow::runtime {

class Random {
 public:
  virtual ~Random() = default;
  /// Uniform in [0, bound). Precondition: bound > 0.
  virtual std::uint64_t below(std::uint64_t bound) = 0;
  /// Uniform in [0, 1).
  virtual double unit() = 0;
  virtual std::uint64_t next() = 0;

  /// Uniform in [low, high); `low` if both are equal.
  Duration between(Duration low, Duration high) {
    const auto span = static_cast<std::uint64_t>((high - low).count());
    return span == 0 ? low : low + Duration(static_cast<std::int64_t>(below(span)));
  }
};

}  // namespace cairnhollow::runtime
