// The proxy role of a registered fleet: serves caller sessions in front of the fleet's database groups.
#pragma once

#include <functional>
#include <memory>

#include "registered/protocol/backend_link.h"
#include "registered/protocol/caller_protocol.h"
#include "registered/proxy/settings.h"
#include "registered/registry/control_service.h"
#include "runtime/role.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::proxy {

/// The protocols that the proxy speaks with callers and backends. Created once at start.
struct SessionProtocols {
  std::function<std::unique_ptr<CallerProtocol>()> make_callers;
  std::function<std::unique_ptr<BackendDialer>(runtime::Runtime&, NodeName)> make_dialer;
  /// Creates the handler of backend registrations; null if this proxy takes none.
  std::function<std::unique_ptr<runtime::HttpHandler>(const registry::RegistrationRelay&)> make_registrations;
  /// HTTP path that answers 200 while the proxy takes new sessions, otherwise 503.
  std::string readiness_path;
};

/// Creates a proxy on `runtime`, which is not owned and must outlive it.
std::unique_ptr<runtime::Role> make_session_proxy(runtime::Runtime& runtime, SessionProxySettings settings,
                                                  const SessionProtocols& protocols);

}  // namespace cairnhollow::registered::proxy
