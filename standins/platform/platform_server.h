// The stand-in platform's role: answers GET /v1/machines with the lagging list.
#pragma once

#include <memory>

#include "runtime/role.h"
#include "runtime/runtime.h"
#include "standins/platform/settings.h"

namespace cairnhollow::standins::platform {

std::unique_ptr<runtime::Role> make_platform(runtime::Runtime& runtime, PlatformSettings settings);

}  // namespace cairnhollow::standins::platform
