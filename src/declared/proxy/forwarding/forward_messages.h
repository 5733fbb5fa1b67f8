// Messages between two proxies: the caller API's requests and answers over HTTP with two additional header
// fields. A request with the forwarding header is served or refused where it arrives and never forwarded
// again, no matter who set the header.
#pragma once

#include <optional>
#include <string>

#include "declared/proxy/statement/statement.h"
#include "http/problem.h"
#include "runtime/http.h"

namespace cairnhollow::declared::proxy {

/// Name of the forwarding proxy; its presence marks a request as forwarded.
inline constexpr const char* kForwardedByHeader = "cairnhollow-forwarded-by";
/// How many milliseconds the forwarding proxy waits for the answer. May shorten the body's deadline_ms, never
/// extend it.
inline constexpr const char* kTimeLeftHeader = "cairnhollow-time-left-ms";

[[nodiscard]] bool is_forwarded(const runtime::HttpRequest& request);

/// Builds the forwarded request: the caller's body and Idempotency-Key unchanged, with the forwarding
/// headers. `time_left` is sent in whole milliseconds, rounded down.
runtime::HttpRequest forwarded_request(const runtime::HttpRequest& request, const NodeName& by,
                                       Duration time_left);

/// Identifies a request whose outcome is queried from the request ledger because its answer is missing.
struct LedgerQuery {
  RequestId request_id;
  DatabaseName database;
  std::string partition_key;
  LabelSet labels;
  std::optional<routing::SessionToken> token;
};

/// Builds the request POST /v1/resolve, without the forwarding headers.
runtime::HttpRequest resolve_request(const LedgerQuery& query);

/// Parses the answer to resolve_request(). Returns std::nullopt and sets `reason` if it contains no outcome.
/// A commit is returned as the answer for the statement's caller, an abort as the refusal.
struct ResolvedAnswer {
  runtime::HttpResponse response;
  std::optional<Refused> aborted;
};
std::optional<ResolvedAnswer> parse_resolve_answer(const runtime::HttpResponse& response,
                                                   const std::string& peer, Reason& reason);

/// The transaction id in the answer to a begin; std::nullopt if there is none.
std::optional<TransactionId> parse_transaction_id(const runtime::HttpResponse& response);

/// Prepares the remote proxy's answer for the caller: removes the headers that concern only the connection
/// between proxies.
runtime::HttpResponse to_caller_response(runtime::HttpResponse response);

}  // namespace cairnhollow::declared::proxy
