// A way on which one connection sends one kind of statement again and again: through a proxy, or straight to
// a backend. For measuring what the proxy adds.
#pragma once

#include <memory>
#include <string>

#include "base/reason.h"
#include "declared/backend/backend_connection.h"
#include "runtime/runtime.h"
#include "standins/callers/record_statement.h"

namespace cairnhollow::standins::callers {

/// What all connections of a measurement send.
struct RoutedStatement {
  declared::backend::StatementKind kind = declared::backend::StatementKind::kRead;
  RecordKey key;
  std::string session_token;  ///< reads through a proxy: any backend that is fresh enough may serve
};

class StatementRoute {
 public:
  virtual ~StatementRoute() = default;
  /// One statement; false with the reason when it was not served. The next one opens a new connection if need
  /// be.
  virtual Awaitable<bool> run(Reason& reason) = 0;
};

/// Writes append a short value, each under the next number of `session`, which must be the route's own.
std::unique_ptr<StatementRoute> make_proxy_route(runtime::Runtime& runtime, Endpoint proxy,
                                                 const RoutedStatement& statement, SessionName session);

/// By a statement connection of its own, as a proxy would. Writes need `backend` to be the primary: its term
/// is learned once a connection.
std::unique_ptr<StatementRoute> make_direct_route(runtime::Runtime& runtime, Endpoint backend,
                                                  const RoutedStatement& statement, SessionName session);

/// Appends one value to `key` through `proxy`; the session token of the answer, empty on failure.
Awaitable<std::string> write_record(runtime::Runtime& runtime, Endpoint proxy, RecordKey key,
                                    SessionName session, Reason& reason);

}  // namespace cairnhollow::standins::callers
