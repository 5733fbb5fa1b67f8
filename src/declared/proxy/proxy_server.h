// The proxy role: wires admission, routing, connection pools and the follow stream together.
#pragma once

#include <memory>

#include "declared/proxy/settings.h"
#include "runtime/role.h"
#include "runtime/runtime.h"

namespace cairnhollow::declared::proxy {

/// Creates a proxy. `runtime` is not owned and must outlive it.
std::unique_ptr<runtime::Role> make_proxy(runtime::Runtime& runtime, ProxySettings settings);

}  // namespace cairnhollow::declared::proxy
