// Settings of the stand-in for the platform's lagging list of machines.
#pragma once

#include "base/types.h"

namespace cairnhollow::standins::platform {

struct PlatformSettings {
  Endpoint endpoint;
  Duration list_lag = std::chrono::seconds(1);  ///< how late a change shows in the list
};

}  // namespace cairnhollow::standins::platform
