// Reads the settings of the stand-in platform.
#pragma once

#include "cli/settings_reader.h"
#include "standins/platform/settings.h"

namespace cairnhollow::standins::platform {

PlatformSettings read_platform_settings(cli::SettingsReader& reader);

}  // namespace cairnhollow::standins::platform
