// The bodies of the caller API (docs/API.md), checked.
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
  TimePoint deadline;  ///< by which the answer leaves
};

struct CommitBody {
  RequestId request_id;
  std::uint64_t answered_up_to = 0;
  TimePoint deadline;  ///< by which the answer leaves
  std::optional<routing::SessionToken> token;
  LabelSet labels;
  DatabaseName database;      ///< empty when not named
  std::string partition_key;  ///< empty when not named
};

struct ResolveBody {
  StatementCall call;  ///< kind write, without text; the request id is set
};

/// What every parser needs besides the body.
struct ParseContext {
  TimePoint now;
  Duration default_deadline{0};
  std::optional<std::string> time_left =
      std::nullopt;  ///< what a forwarded request's header says, in milliseconds
};

// Each returns empty with kInvalidArgument whose detail names all faults.
std::optional<StatementBody> parse_statement(const runtime::HttpRequest& request, const ParseContext& context,
                                             Reason& reason);
std::optional<BeginBody> parse_begin(const runtime::HttpRequest& request, const ParseContext& context,
                                     Reason& reason);
std::optional<TransactionStatementBody> parse_transaction_statement(const runtime::HttpRequest& request,
                                                                    const ParseContext& context,
                                                                    Reason& reason);
std::optional<CommitBody> parse_commit(const runtime::HttpRequest& request, const ParseContext& context,
                                       Reason& reason);
/// The deadline of a rollback.
std::optional<TimePoint> parse_rollback(const runtime::HttpRequest& request, const ParseContext& context,
                                        Reason& reason);
std::optional<ResolveBody> parse_resolve(const runtime::HttpRequest& request, const ParseContext& context,
                                         Reason& reason);

/// What a commit says of where its transaction was begun, as a call.
StatementCall commit_call(const CommitBody& body);

/// "session:number"; empty when the text is none.
std::optional<RequestId> parse_request_id(const std::string& text);
std::string request_id_text(const RequestId& request_id);

}  // namespace cairnhollow::declared::proxy
