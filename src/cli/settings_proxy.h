// Reads the settings of a proxy.
#pragma once

#include "cli/settings_reader.h"
#include "declared/proxy/settings.h"

namespace cairnhollow::cli {

declared::proxy::ProxySettings read_proxy_settings(SettingsReader& reader);

}  // namespace cairnhollow::cli
