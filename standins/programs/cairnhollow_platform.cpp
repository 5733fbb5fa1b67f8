// Stand-in for the platform's lagging list of machines.
#include "cli/program.h"
#include "standins/platform/platform_server.h"
#include "standins/platform/settings_file.h"

namespace cli = cairnhollow::cli;
namespace platform = cairnhollow::standins::platform;

namespace {

cli::ProgramPlan read_settings(cli::SettingsReader& reader) {
  cli::ProgramPlan plan;
  const platform::PlatformSettings settings = platform::read_platform_settings(reader);
  plan.node = "platform";
  plan.make_role = [settings](cairnhollow::runtime::Runtime& runtime) {
    return platform::make_platform(runtime, settings);
  };
  return plan;
}

}  // namespace

int main(int argument_count, char** arguments) {
  const cli::ProgramDefinition definition{"cairnhollow-platform",
                                          "stand-in for the platform's list of machines", read_settings};
  return cli::run_program(definition, argument_count, arguments);
}
