// A caller's statement and its outcome.
#pragma once

#include <optional>
#include <string>
#include <variant>

#include "base/reason.h"
#include "base/types.h"
#include "declared/backend/backend_connection.h"
#include "declared/routing/decision.h"
#include "declared/routing/session_token.h"
#include "http/problem.h"

namespace cairnhollow::declared::proxy {

/// Admission priority when a backend is busy.
enum class Priority : std::uint8_t { kHigh = 0, kNormal = 1, kLow = 2 };

/// A validated statement as the executors take it, with its deadline on the local clock.
struct StatementCall {
  backend::Statement statement;
  LabelSet labels;  ///< always include "database"
  Priority priority = Priority::kNormal;
  TimePoint deadline;                   ///< time by which the answer must be sent
  std::optional<RequestId> request_id;  ///< always set for writes
  std::uint64_t answered_up_to = 0;
  bool resent = false;                         ///< an earlier copy may have been sent
  std::optional<routing::SessionToken> token;  ///< unset if there was no token or it could not be decoded
};

/// The statement ran.
struct Done {
  std::string result;
  Position position;
  GroupName group;  ///< name used in session tokens
  BackendName backend;
  bool backend_is_primary = false;
  routing::PrimaryReadCause primary_read = routing::PrimaryReadCause::kNone;  ///< for reads on the primary
};

/// The statement did not run, or its outcome is unknown.
struct Refused {
  Reason reason;
  http::RunState run_state = http::RunState::kNotRun;
  std::optional<Duration> retry_after;
};

using Outcome = std::variant<Done, Refused>;

/// Builds the routing request for the statement.
routing::Request routing_request(const StatementCall& call, bool in_transaction);

/// The reason for a statement that the database rejected, with the code of `reason` if that is more specific
/// than kInvalidArgument.
Reason statement_refused(const BackendName& backend, const std::string& detail, const Reason& reason);

/// The refusal of a request while another copy with the same id is being served.
Reason duplicate_in_flight_reason();

/// A refusal covers this copy of the request only. An earlier copy of a resent request may have run, unless
/// the request ledger records that it never will; sets the run state to unknown accordingly.
void mark_unknown_if_resent(Refused& refused, bool resent);

/// Builds a refusal, with a retry delay according to the reason's code.
Refused refuse(Reason reason, http::RunState run_state = http::RunState::kNotRun);

}  // namespace cairnhollow::declared::proxy
