// Command line of cairnhollow-load.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "declared/backend/backend_connection.h"
#include "standins/callers/load_generator.h"

namespace cairnhollow::standins::callers {

enum class LoadCommand : std::uint8_t {
  kRun,         ///< run a workload against proxies and check what came back
  kCheck,       ///< check a recorded history again
  kLatency,     ///< statements through a proxy and straight to the backends, side by side
  kThroughput,  ///< statements through proxies, as fast as the connections allow
  kIdle,        ///< hold idle connections
};

struct LoadOptions {
  LoadCommand command = LoadCommand::kRun;
  LoadSettings load;  ///< its proxies, rate and duration are those of every command
  /// kLatency, kThroughput: members of one database group; for writes its primary
  std::vector<Endpoint> backends;
  /// kLatency, kThroughput
  declared::backend::StatementKind statements = declared::backend::StatementKind::kRead;
  std::uint32_t connections = 32;  ///< kLatency, kThroughput: of each way; kIdle: in all
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
