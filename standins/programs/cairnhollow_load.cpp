// cairnhollow-load: callers of both deployments, and a judge of what they saw.
#include "standins/callers/load_program.h"

int main(int argument_count, char** arguments) {
  const std::vector<std::string> words(arguments + 1, arguments + argument_count);
  return cairnhollow::standins::callers::run_load_program(words);
}
