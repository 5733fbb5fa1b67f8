// What every program of the fleet does around its role: flags, settings file, log, signals, exit code.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cli/settings_reader.h"
#include "runtime/role.h"
#include "runtime/runtime.h"

namespace cairnhollow::cli {

/// Exit codes of the programs.
inline constexpr int kExitSuccess = 0;  ///< drained and stopped as asked, or the settings are valid
inline constexpr int kExitFailure = 1;  ///< the role could not start; the last log line says why
inline constexpr int kExitUsage = 2;    ///< wrong flags or settings; each fault is printed

/// What the settings of one program say.
struct ProgramPlan {
  std::string node;         ///< log field
  std::string zone;         ///< log field
  std::string data_folder;  ///< empty: the program keeps no files
  /// Creates the role; called once, only when the settings are valid.
  std::function<std::unique_ptr<runtime::Role>(runtime::Runtime& runtime)> make_role;
};

struct ProgramDefinition {
  std::string name;     ///< e.g. "cairnhollow-proxy"
  std::string summary;  ///< one sentence for --help
  std::function<ProgramPlan(SettingsReader& reader)> read_settings;
};

/// The key `data_folder` (or the flag --data) of a program that keeps files; required.
std::string read_data_folder(SettingsReader& reader);

/// Runs the program until SIGTERM or SIGINT: the first drains the role and ends with kExitSuccess, a second
/// ends the process at once. `log_level` is a key of every settings file.
int run_program(const ProgramDefinition& definition, int argument_count, char** arguments);

}  // namespace cairnhollow::cli
