// The HTTP/JSON driver of BackendConnection; docs/BACKEND_CONTRACT.md describes the calls.
#pragma once

#include <memory>

#include "declared/backend/backend_connection.h"
#include "runtime/runtime.h"

namespace cairnhollow::declared::backend {

/// What a connection is for. A database counts only statement connections against its connection limit,
/// so that a full primary still answers probes and failover calls.
enum class ConnectionPurpose : std::uint8_t {
  kStatements,  ///< every call; takes one of the database's connections, opening it costs its opening delay
  kControl,     ///< status, fence, promote, follow and resolve only
};

/// `runtime` outlives the connector and its connections. A connection whose answer is late, short, not
/// parsable or another exchange's is closed for good, and the call counts as Failed{kMaybeSent}.
std::unique_ptr<BackendConnector> make_http_backend_connector(
    runtime::Runtime& runtime, ConnectionPurpose purpose = ConnectionPurpose::kStatements);

}  // namespace cairnhollow::declared::backend
