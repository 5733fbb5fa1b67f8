// Reads the settings of a stand-in database server.
#pragma once

#include "cli/settings_reader.h"
#include "standins/database/settings.h"

namespace cairnhollow::standins::database {

/// Also checks what must hold between settings: the group's members are distinct and this server is one of
/// them.
DatabaseSettings read_database_settings(cli::SettingsReader& reader);

}  // namespace cairnhollow::standins::database
