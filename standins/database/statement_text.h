// The stand-in's statement language. A statement is one operation, or a list of them:
// {"op":"get","record":R}, {"op":"append","record":R,"value":V}, {"op":"put","record":R,"value":V}.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/reason.h"
#include "base/types.h"
#include "standins/database/log_entry.h"
#include "standins/database/record_store.h"

namespace cairnhollow::standins::database {

struct ParsedStatement {
  std::vector<Operation> operations;
  bool single_operation = false;  ///< written without a list
  [[nodiscard]] bool writes() const;
};

/// Empty with kInvalidArgument when the text is no statement.
std::optional<ParsedStatement> parse_statement(const DatabaseName& database, const std::string& text,
                                               Reason& reason);

/// {"entries":[...]} for a get, {"length":n} for a committed write, {} for one in an open transaction;
/// {"results":[...]} of these unless `single_operation`.
std::string format_results(const std::vector<OperationResult>& results, bool single_operation);

}  // namespace cairnhollow::standins::database
