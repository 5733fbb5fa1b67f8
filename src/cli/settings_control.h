// Reads the settings of a control node.
#pragma once

#include "cli/settings_reader.h"
#include "declared/control/settings.h"

namespace cairnhollow::cli {

/// Also checks what must hold between settings: heartbeats come well before an election, and a node either
/// founds the cluster (`initial_members`) or waits to be added (`join`).
declared::control::ControlSettings read_control_settings(SettingsReader& reader);

}  // namespace cairnhollow::cli
