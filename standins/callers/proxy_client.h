// Client of the proxies' caller API (docs/API.md): one caller's keep-alive connection, typed requests and
// answers. It never sends a statement twice; what to do after a refusal is the session's matter.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/reason.h"
#include "base/types.h"
#include "runtime/runtime.h"

namespace cairnhollow::standins::callers {

enum class StatementKind : std::uint8_t { kRead, kWrite };
enum class Priority : std::uint8_t { kHigh, kNormal, kLow };

struct StatementRequest {
  std::string database;
  std::string partition_key;
  StatementKind kind = StatementKind::kRead;
  std::string text;
  bool repeatable = false;
  Priority priority = Priority::kNormal;
  Duration time_limit = std::chrono::seconds(5);
  RequestId id;
  std::uint64_t answered_up_to = 0;
  std::string session_token;  ///< empty: none
};

enum class CallOutcome : std::uint8_t {
  kDone,      ///< 200
  kNotRun,    ///< refused, and proved not to have run
  kUnknown,   ///< refused, and may have run
  kNoAnswer,  ///< the connection broke after the request may have been sent
};

/// What came back. `reason`, `retry_after` and `peer` of the reason belong to refusals.
struct CallAnswer {
  CallOutcome outcome = CallOutcome::kNoAnswer;
  std::string stated_outcome;  ///< of a 200: "done", or a resolve's "committed" or "aborted"
  std::string result;
  std::string session_token;
  std::string backend;
  bool backend_is_primary = false;
  std::string request_id;
  std::string transaction;
  Reason reason;
  Duration retry_after{0};
};

enum class ResolvedOutcome : std::uint8_t { kCommitted, kAborted };

struct ResolveRequest {
  std::string database;
  std::string partition_key;
  RequestId id;
  std::string session_token;
};

struct ResolvedAnswer {
  ResolvedOutcome outcome = ResolvedOutcome::kAborted;
  std::string session_token;
  std::string backend;
  std::string request_id;
};

/// "session:number", as the proxy echoes it.
std::string request_id_text(const RequestId& id);

/// One call at a time. A failed exchange closes the connection; the next call opens one to proxy().
class ProxyClient {
 public:
  ProxyClient(runtime::Runtime& runtime, Endpoint proxy);

  [[nodiscard]] const Endpoint& proxy() const { return proxy_; }
  [[nodiscard]] bool is_connected() const { return connection_ != nullptr && connection_->is_open(); }
  /// Closes the connection; later calls go to `proxy`.
  void move_to(const Endpoint& proxy);

  Awaitable<CallAnswer> execute(StatementRequest request);
  /// `request` gives database, partition key, priority and token; kind and text do not count.
  Awaitable<CallAnswer> begin(StatementRequest request);
  Awaitable<CallAnswer> execute_in(std::string transaction, StatementRequest request);
  Awaitable<CallAnswer> commit(std::string transaction, StatementRequest request);
  Awaitable<CallAnswer> rollback(std::string transaction);
  Awaitable<std::optional<ResolvedAnswer>> resolve(ResolveRequest request, Duration time_limit,
                                                   Reason& reason);

 private:
  Awaitable<CallAnswer> post(std::string target, std::string body, Duration time_limit);
  Awaitable<bool> ensure_connection(TimePoint deadline, Reason& reason);

  runtime::Runtime& runtime_;
  Endpoint proxy_;
  std::shared_ptr<runtime::HttpConnection> connection_;
};

}  // namespace cairnhollow::standins::callers
