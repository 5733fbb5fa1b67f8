// The proxy's role: wires admission, routing, pools and the follow stream together.
#pragma once

#include <memory>

#include "declared/proxy/settings.h"
#include "runtime/role.h"
#include "runtime/runtime.h"

namespace cairnhollow::declared::proxy {

/// Creates a proxy on `runtime`, which outlives it.
std::unique_ptr<runtime::Role> make_proxy(runtime::Runtime& runtime, ProxySettings settings);

}  // namespace cairnhollow::declared::proxy
