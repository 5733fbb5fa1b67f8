// Builds the HTTP responses of the caller API (docs/API.md).
#pragma once

#include <optional>
#include <string>

#include "declared/proxy/statement/statement.h"
#include "declared/proxy/transaction/transaction_service.h"
#include "runtime/http.h"

namespace cairnhollow::declared::proxy {

/// Parts of an answer other than the outcome.
struct AnswerContext {
  std::optional<RequestId> request_id;
  std::optional<routing::SessionToken> token;  ///< the session token that came with the request
};

/// Returns 200 with the result and session token, or a problem document.
runtime::HttpResponse statement_answer(const Outcome& outcome, const AnswerContext& context);
/// For a statement or rollback inside a transaction: no session token, no request id.
runtime::HttpResponse in_transaction_answer(const Outcome& outcome);
runtime::HttpResponse begin_answer(const BeginOutcome& outcome);
/// Returns the outcome of the request that was queried. A refusal to report it becomes `unknown`.
runtime::HttpResponse resolve_answer(const Outcome& outcome, const AnswerContext& context);
runtime::HttpResponse refusal_answer(const Refused& refused, const std::optional<RequestId>& request_id);

runtime::HttpResponse text_answer(unsigned status, std::string content_type, std::string body);

}  // namespace cairnhollow::declared::proxy
