// Deterministic simulation of whole deployments under failure.
#include "simulation/command.h"

int main(int argument_count, char** arguments) {
  return cairnhollow::simulation::run_command(argument_count, arguments);
}
