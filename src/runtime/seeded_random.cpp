#include "runtime/seeded_random.h"

#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace cairnhollow::runtime {

std::uint64_t SeededRandom::below(std::uint64_t bound) {
  return boost::random::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
}

double SeededRandom::unit() { return boost::random::uniform_01<double>()(engine_); }

std::uint64_t SeededRandom::next() { return engine_(); }

}  // namespace cairnhollow::runtime
