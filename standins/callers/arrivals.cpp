#include "standins/callers/arrivals.h"

#include <cmath>

namespace cairnhollow::standins::callers {

Duration next_arrival(runtime::Random& random, double arrivals_per_second) {
  // Inverse of the exponential distribution; unit() is below 1.
  const double seconds = -std::log(1.0 - random.unit()) / arrivals_per_second;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace cairnhollow::standins::callers
