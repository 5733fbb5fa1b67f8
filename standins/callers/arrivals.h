// Arrival times of an open-loop load.
#pragma once

#include "base/types.h"
#include "runtime/random.h"

namespace cairnhollow::standins::callers {

/// Time to the next arrival of a Poisson process.
Duration next_arrival(runtime::Random& random, double arrivals_per_second);

}  // namespace cairnhollow::standins::callers
