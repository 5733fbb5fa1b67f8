// The answers of the caller API (docs/API.md).
#pragma once

#include <optional>
#include <string>

#include "declared/proxy/statement/statement.h"
#include "declared/proxy/transaction/transaction_service.h"
#include "runtime/http.h"

namespace cairnhollow::declared::proxy {

/// What an answer carries besides the outcome.
struct AnswerContext {
  std::optional<RequestId> request_id;
  std::optional<routing::SessionToken> token;  ///< the session's token as the request brought it
};

/// 200 with result and session token, or a problem document.
runtime::HttpResponse statement_answer(const Outcome& outcome, const AnswerContext& context);
/// A statement or rollback inside a transaction: no token, no request id.
runtime::HttpResponse in_transaction_answer(const Outcome& outcome);
runtime::HttpResponse begin_answer(const BeginOutcome& outcome);
/// The outcome of the request that was asked about; every refusal to tell it is `unknown`.
runtime::HttpResponse resolve_answer(const Outcome& outcome, const AnswerContext& context);
runtime::HttpResponse refusal_answer(const Refused& refused, const std::optional<RequestId>& request_id);

runtime::HttpResponse text_answer(unsigned status, std::string content_type, std::string body);

}  // namespace cairnhollow::declared::proxy
