// The proxy of a registered fleet: sessions of callers in front of its database groups.
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

/// How the proxy speaks with callers and backends. Made once, at the start.
struct SessionEdge {
  std::function<std::unique_ptr<CallerProtocol>()> make_callers;
  std::function<std::unique_ptr<BackendDialer>(runtime::Runtime&, NodeName)> make_dialer;
  /// What backends call; null: they are not answered here.
  std::function<std::unique_ptr<runtime::HttpHandler>(const registry::RegistrationRelay&)> make_registrations;
  std::string readiness_path;  ///< on which the node says whether it takes sessions
};

/// Creates a proxy on `runtime`, which outlives it.
std::unique_ptr<runtime::Role> make_session_proxy(runtime::Runtime& runtime, SessionProxySettings settings,
                                                  const SessionEdge& edge);

}  // namespace cairnhollow::registered::proxy
