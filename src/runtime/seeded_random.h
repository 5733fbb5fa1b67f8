// Seeded random numbers: the same seed gives the same sequence on every platform.
#pragma once

#include <boost/random/mersenne_twister.hpp>

#include "runtime/random.h"

namespace cairnhollow::runtime {

/// 64-bit Mersenne Twister (Boost.Random mt19937_64). Not cryptographically secure.
class SeededRandom : public Random {
 public:
  explicit SeededRandom(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t below(std::uint64_t bound) override;
  double unit() override;
  std::uint64_t next() override;

 private:
  boost::random::mt19937_64 engine_;
};

}  // namespace cairnhollow::runtime
