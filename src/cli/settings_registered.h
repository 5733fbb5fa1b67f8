// The settings files of the programs in a registered fleet. docs/CONFIGURATION.md lists every key.
#pragma once

#include "cli/settings_reader.h"
#include "registered/control/settings.h"
#include "registered/proxy/settings.h"

namespace cairnhollow::cli {

/// Which kind of fleet a program belongs to, by the key `fleet`.
enum class FleetKind : std::uint8_t { kDeclared, kRegistered };
FleetKind read_fleet_kind(SettingsReader& reader);

registered::proxy::SessionProxySettings read_session_proxy_settings(SettingsReader& reader);
registered::control::RegisteredControlSettings read_registered_control_settings(SettingsReader& reader);

}  // namespace cairnhollow::cli
