#include "standins/platform/settings_file.h"

#include "cli/settings_limits.h"

namespace cairnhollow::standins::platform {

PlatformSettings read_platform_settings(cli::SettingsReader& reader) {
  PlatformSettings settings;
  reader.read("endpoint", settings.endpoint, cli::Presence::kRequired);
  reader.read("list_lag", settings.list_lag, cli::kDelayRange);
  return settings;
}

}  // namespace cairnhollow::standins::platform
