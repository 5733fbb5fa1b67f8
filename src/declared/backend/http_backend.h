// HTTP/JSON driver that implements BackendConnection; docs/BACKEND_CONTRACT.md specifies the calls.
#pragma once

#include <memory>

#include "declared/backend/backend_connection.h"
#include "runtime/runtime.h"

namespace cairnhollow::declared::backend {

/// What a connection is used for. A database counts only statement connections against its connection limit,
/// so that a primary at its limit still answers probes and failover calls.
enum class ConnectionPurpose : std::uint8_t {
  kStatements,  ///< all calls; counts against the connection limit and incurs the opening delay
  kControl,     ///< only status, fence, promote, follow and resolve
};

/// `runtime` is not owned and must outlive the connector and its connections. A connection is closed
/// permanently if an answer is late, truncated, malformed or belongs to another exchange; the call then
/// returns Failed{kMaybeSent}.
std::unique_ptr<BackendConnector> make_http_backend_connector(
    runtime::Runtime& runtime, ConnectionPurpose purpose = ConnectionPurpose::kStatements);

}  // namespace cairnhollow::declared::backend
