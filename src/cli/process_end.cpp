#include "cli/process_end.h"

#include <cstdio>
#include <cstdlib>
#include <iostream>

namespace cairnhollow::cli {

void end_process(int exit_code) {
  std::cout.flush();
  std::cerr.flush();
  std::fflush(nullptr);
  std::_Exit(exit_code);
}

}  // namespace cairnhollow::cli
