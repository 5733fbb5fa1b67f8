// The operator's command line.
#include "cli/operator_program.h"

int main(int argument_count, char** arguments) {
  return cairnhollow::cli::run_operator_program(argument_count, arguments);
}
