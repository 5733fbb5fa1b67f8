// The proxy: serves callers and decides for each statement which backend may serve it.
#include "cli/program.h"
#include "cli/settings_proxy.h"
#include "cli/settings_registered.h"
#include "declared/proxy/proxy_server.h"
#include "platform/edge.h"
#include "registered/proxy/session_proxy.h"

namespace cli = cairnhollow::cli;
namespace declared = cairnhollow::declared;
namespace platform = cairnhollow::platform;
namespace registered = cairnhollow::registered;
namespace runtime = cairnhollow::runtime;

namespace {

void read_declared(cli::SettingsReader& reader, cli::ProgramPlan& plan) {
  const declared::proxy::ProxySettings settings = cli::read_proxy_settings(reader);
  plan.node = settings.node.value;
  plan.zone = settings.zone.value;
  plan.make_role = [settings](runtime::Runtime& runtime) {
    return declared::proxy::make_proxy(runtime, settings);
  };
}

void read_registered(cli::SettingsReader& reader, cli::ProgramPlan& plan) {
  const registered::proxy::SessionProxySettings settings = cli::read_session_proxy_settings(reader);
  plan.node = settings.node.value;
  plan.zone = settings.zone.value;
  plan.make_role = [settings](runtime::Runtime& runtime) {
    return registered::proxy::make_session_proxy(runtime, settings, platform::session_edge());
  };
}

cli::ProgramPlan read_settings(cli::SettingsReader& reader) {
  cli::ProgramPlan plan;
  const bool is_registered = cli::read_fleet_kind(reader) == cli::FleetKind::kRegistered;
  if (is_registered) read_registered(reader, plan);
  if (!is_registered) read_declared(reader, plan);
  return plan;
}

}  // namespace

int main(int argument_count, char** arguments) {
  const cli::ProgramDefinition definition{"cairnhollow-proxy", "database proxy with session consistency",
                                          read_settings};
  return cli::run_program(definition, argument_count, arguments);
}
