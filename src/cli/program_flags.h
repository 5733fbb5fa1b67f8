// The flags that all programs of the fleet share.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cli/settings_reader.h"

namespace cairnhollow::cli {

struct ProgramFlags {
  std::string settings_file;
  bool check_settings = false;
  std::vector<SettingsOverride> overrides;  ///< in the order of the flags that set a key
  std::vector<SettingsFault> faults;        ///< flags that set none; reported with those of the settings
};

/// What to do after the flags were read.
struct FlagsOutcome {
  std::optional<ProgramFlags> flags;  ///< go on with these
  int exit_code = 0;                  ///< else end with this
  std::string output;                 ///< and print this: to standard output when the code is 0
};

FlagsOutcome parse_program_flags(const std::string& program, const std::string& summary,
                                 const std::vector<std::string>& arguments);

}  // namespace cairnhollow::cli
