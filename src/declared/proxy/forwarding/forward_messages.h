// What crosses the hop between two proxies: the caller API's own requests and answers over HTTP, with two
// header fields more. A marked request is served or refused where it arrives and never passed on, whoever
// marked it.
#pragma once

#include <optional>
#include <string>

#include "declared/proxy/statement/statement.h"
#include "http/problem.h"
#include "runtime/http.h"

namespace cairnhollow::declared::proxy {

/// The name of the proxy that forwards; its presence is the mark.
inline constexpr const char* kForwardedByHeader = "cairnhollow-forwarded-by";
/// Milliseconds that the forwarder waits for the answer. Shortens the body's deadline_ms, never lengthens it.
inline constexpr const char* kTimeLeftHeader = "cairnhollow-time-left-ms";

[[nodiscard]] bool is_forwarded(const runtime::HttpRequest& request);

/// The caller's request as it crosses the hop: body and Idempotency-Key as they came, marked.
runtime::HttpRequest forwarded_request(const runtime::HttpRequest& request, const NodeName& by,
                                       Duration time_left);

/// What the request ledger is asked when an answer is missing.
struct LedgerQuestion {
  RequestId request_id;
  DatabaseName database;
  std::string partition_key;
  LabelSet labels;
  std::optional<routing::SessionToken> token;
};

/// POST /v1/resolve, not yet marked.
runtime::HttpRequest resolve_request(const LedgerQuestion& question);

/// What an answer to resolve_request() says. Empty when it tells no outcome; `reason` then says why.
/// A commit comes as the answer that the caller of the statement gets, an abort as its refusal.
struct ResolvedAnswer {
  runtime::HttpResponse response;
  std::optional<Refused> aborted;
};
std::optional<ResolvedAnswer> read_resolved(const runtime::HttpResponse& response, const std::string& peer,
                                            Reason& reason);

/// The id in the answer to a begin; empty when there is none.
std::optional<TransactionId> read_begun(const runtime::HttpResponse& response);

/// The far proxy's answer as the caller gets it: without what concerns the hop's connection.
runtime::HttpResponse passed_through(runtime::HttpResponse response);

}  // namespace cairnhollow::declared::proxy
