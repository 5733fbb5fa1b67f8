#include "cli/program_flags.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <array>
#include <map>

#include "cli/program.h"

namespace cairnhollow::cli {
namespace {

constexpr const char* kUsage = R"({program}: {summary}

Usage:
  {program} --settings=FILE [--check-settings] [--data=FOLDER] [--node=NAME] [--zone=NAME]
            [--set=KEY=VALUE]... [--log-level=LEVEL]
  {program} (-h | --help)
  {program} --version

Options:
  --settings=FILE    Settings file (YAML). docs/CONFIGURATION.md lists its keys.
  --check-settings   Report every fault of the settings and end without starting.
  --data=FOLDER      Data folder, over the key data_folder.
  --node=NAME        Name of this node, over the key node.
  --zone=NAME        Zone of this node, over the key zone.
  --log-level=LEVEL  debug, info, warning or error, over the key log_level.
  --set=KEY=VALUE    Any other top-level key, over the settings file. VALUE is YAML.
  -h --help          Show this text.
  --version          Show the version.

SIGTERM or SIGINT drains the program: what is in flight is finished, then it ends. A second one ends it at once.
Exit codes: 0 stopped as asked or settings valid, 1 start failed, 2 wrong flags or settings.
)";

/// A flag that stands for one key of the settings file.
struct KeyFlag {
  const char* name;
  const char* key;
};
constexpr std::array<KeyFlag, 4> kKeyFlags{
    {{"--data", "data_folder"}, {"--node", "node"}, {"--zone", "zone"}, {"--log-level", "log_level"}}};

using DocoptValues = std::map<std::string, docopt::value>;

FlagsOutcome refuse(std::string why) { return FlagsOutcome{std::nullopt, kExitUsage, std::move(why)}; }

FlagsOutcome to_flags(const DocoptValues& values) {
  ProgramFlags flags;
  flags.settings_file = values.at("--settings").asString();
  flags.check_settings = values.at("--check-settings").asBool();
  for (const std::string& text : values.at("--set").asStringList()) {
    const auto setting = parse_settings_override(text);
    if (setting) {
      flags.overrides.push_back(*setting);
    } else {
      flags.faults.push_back({"--set " + text, 0, "", "must be KEY=VALUE"});
    }
  }
  for (const KeyFlag& flag : kKeyFlags) {
    const docopt::value& value = values.at(flag.name);
    if (!value.isString()) continue;
    flags.overrides.push_back({flag.name, flag.key, value.asString(), OverrideForm::kText});
  }
  return FlagsOutcome{std::move(flags), kExitSuccess, ""};
}

}  // namespace

FlagsOutcome parse_program_flags(const std::string& program, const std::string& summary,
                                 const std::vector<std::string>& arguments) {
  const std::string usage =
      fmt::format(fmt::runtime(kUsage), fmt::arg("program", program), fmt::arg("summary", summary));
  try {
    return to_flags(docopt::docopt_parse(usage, arguments, true, true, false));
  } catch (const docopt::DocoptExitHelp&) {
    return FlagsOutcome{std::nullopt, kExitSuccess, usage};
  } catch (const docopt::DocoptExitVersion&) {
    return FlagsOutcome{std::nullopt, kExitSuccess, fmt::format("{} {}\n", program, CAIRNHOLLOW_VERSION)};
  } catch (const docopt::DocoptArgumentError& error) {
    const std::string detail = error.what();
    const std::string blank = detail.empty() ? "" : "\n\n";
    return refuse(fmt::format("{}{}{}", detail, blank, usage));
  }
}

}  // namespace cairnhollow::cli
