// Command line of cairnhollow-load.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "standins/callers/load_generator.h"

namespace cairnhollow::standins::callers {

enum class LoadCommand : std::uint8_t {
  kRun,    ///< run a workload against proxies and check what came back
  kCheck,  ///< check a recorded history again
};

struct LoadOptions {
  LoadCommand command = LoadCommand::kRun;
  LoadSettings load;  ///< of kRun
  std::uint64_t seed = 0;
  std::string history_file;  ///< written by kRun when not empty, read by kCheck
  std::string report_file;   ///< JSON; written when not empty
  bool json = false;         ///< print the report as JSON
};

/// What to do after the words were read: go on with `options`, or end with `exit_code` after printing
/// `output`.
struct LoadOptionsOutcome {
  std::optional<LoadOptions> options;
  int exit_code = 0;
  std::string output;
};

LoadOptionsOutcome parse_load_options(const std::vector<std::string>& arguments);

}  // namespace cairnhollow::standins::callers
