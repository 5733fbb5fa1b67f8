// Plays a scenario of a registered fleet over seeds, and has what callers saw judged at the end of each run.
#pragma once

#include <functional>

#include "simulation/registered_fleet.h"

namespace cairnhollow::tests {

/// `set` changes the settings of each run; it may be empty. Seeds 1 to 3, or those that
/// CAIRNHOLLOW_REGISTERED_SEEDS names (first-last). Fails with the first violation and its seed. With
/// CAIRNHOLLOW_PRINT_HASHES set, prints the hash of each run's trace: a change that only moves, renames or
/// splits code leaves it as it was.
void play_registered(const std::function<void(simulation::RegisteredFleetSettings&)>& set,
                     const std::function<void(simulation::RegisteredFleet&)>& scenario);

}  // namespace cairnhollow::tests
