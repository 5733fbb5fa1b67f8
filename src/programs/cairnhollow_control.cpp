// The control node: replicated configuration, serving leases, supervision of database groups.
#include "cli/program.h"
#include "cli/settings_control.h"
#include "cli/settings_registered.h"
#include "declared/control/control_node.h"
#include "platform/edge.h"
#include "registered/control/registered_control_node.h"

namespace cli = cairnhollow::cli;
namespace declared = cairnhollow::declared;
namespace platform = cairnhollow::platform;
namespace registered = cairnhollow::registered;
namespace runtime = cairnhollow::runtime;

namespace {

void read_declared(cli::SettingsReader& reader, cli::ProgramPlan& plan) {
  const declared::control::ControlSettings settings = cli::read_control_settings(reader);
  plan.node = settings.node.value;
  plan.zone = settings.zone.value;
  plan.make_role = [settings](runtime::Runtime& runtime) {
    return declared::control::make_control_node(runtime, settings);
  };
}

void read_registered(cli::SettingsReader& reader, cli::ProgramPlan& plan) {
  const auto settings = cli::read_registered_control_settings(reader);
  plan.node = settings.node.value;
  plan.zone = settings.zone.value;
  plan.make_role = [settings](runtime::Runtime& runtime) {
    return registered::control::make_registered_control_node(runtime, settings, platform::control_edge());
  };
}

cli::ProgramPlan read_settings(cli::SettingsReader& reader) {
  cli::ProgramPlan plan;
  const bool is_registered = cli::read_fleet_kind(reader) == cli::FleetKind::kRegistered;
  if (is_registered) read_registered(reader, plan);
  if (!is_registered) read_declared(reader, plan);
  plan.data_folder = cli::read_data_folder(reader);
  return plan;
}

}  // namespace

int main(int argument_count, char** arguments) {
  const cli::ProgramDefinition definition{"cairnhollow-control",
                                          "control node: configuration, leases, failover", read_settings};
  return cli::run_program(definition, argument_count, arguments);
}
