// The command line of cairnhollow-sim.
#pragma once

namespace cairnhollow::simulation {

/// 0 only when every checker held in every run; 1 on a violation, 2 on wrong arguments.
int run_command(int argument_count, char** arguments);

}  // namespace cairnhollow::simulation
