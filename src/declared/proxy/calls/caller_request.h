// Parses and validates the request bodies of the caller API (docs/API.md).
#pragma once

#include <optional>
#include <string>

#include "declared/proxy/statement/statement.h"
#include "runtime/http.h"

namespace cairnhollow::declared::proxy {

struct StatementBody {
  StatementCall call;
  std::optional<TransactionId> transaction;
};

struct BeginBody {
  StatementCall call;  ///< without text
};

/// A statement inside a transaction.
struct TransactionStatementBody {
  backend::StatementKind kind = backend::StatementKind::kRead;
  std::string text;
  TimePoint deadline;  ///< time by which the answer must be sent
};

struct CommitBody {
  RequestId request_id;
  std::uint64_t answered_up_to = 0;
  TimePoint deadline;  ///< time by which the answer must be sent
  std::optional<routing::SessionToken> token;
  LabelSet labels;
  DatabaseName database;      ///< empty if not given
  std::string partition_key;  ///< empty if not given
};

struct ResolveBody {
  StatementCall call;  ///< a write without text; the request id is set
};

/// Input of every parser besides the request.
struct ParseContext {
  TimePoint now;
  Duration default_deadline{0};
  std::optional<std::string> time_left = std::nullopt;  ///< milliseconds, from a forwarded request's header
};

// Each parser returns std::nullopt with kInvalidArgument on failure; the detail lists all errors.
std::optional<StatementBody> parse_statement(const runtime::HttpRequest& request, const ParseContext& context,
                                             Reason& reason);
std::optional<BeginBody> parse_begin(const runtime::HttpRequest& request, const ParseContext& context,
                                     Reason& reason);
std::optional<TransactionStatementBody> parse_transaction_statement(const runtime::HttpRequest& request,
                                                                    const ParseContext& context,
                                                                    Reason& reason);
std::optional<CommitBody> parse_commit(const runtime::HttpRequest& request, const ParseContext& context,
                                       Reason& reason);
/// Returns the deadline of a rollback.
std::optional<TimePoint> parse_rollback(const runtime::HttpRequest& request, const ParseContext& context,
                                        Reason& reason);
std::optional<ResolveBody> parse_resolve(const runtime::HttpRequest& request, const ParseContext& context,
                                         Reason& reason);

/// Returns a call that routes to where the commit's transaction was begun.
StatementCall commit_call(const CommitBody& body);

/// Parses "session:number". Returns std::nullopt if the text has another form.
std::optional<RequestId> parse_request_id(const std::string& text);
std::string request_id_text(const RequestId& request_id);

}  // namespace cairnhollow::declared::proxy
