// One caller's statement and what came of it.
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

/// Order of admission when a backend is busy.
enum class Priority : std::uint8_t { kHigh = 0, kNormal = 1, kLow = 2 };

/// A statement as the executors take it: checked, with its deadline on the local clock.
struct StatementCall {
  backend::Statement statement;
  LabelSet labels;  ///< "database" among them
  Priority priority = Priority::kNormal;
  TimePoint deadline;                   ///< by which the answer leaves
  std::optional<RequestId> request_id;  ///< always set for writes
  std::uint64_t answered_up_to = 0;
  bool resent = false;                         ///< an earlier copy may have been sent
  std::optional<routing::SessionToken> token;  ///< unset: none, or it could not be read
};

/// The statement ran.
struct Done {
  std::string result;
  Position position;
  GroupName group;  ///< as session tokens name it
  BackendName backend;
  bool backend_is_primary = false;
  routing::PrimaryReadCause primary_read = routing::PrimaryReadCause::kNone;  ///< of reads on the primary
};

/// The statement did not run, or nobody can tell.
struct Refused {
  Reason reason;
  http::RunState run_state = http::RunState::kNotRun;
  std::optional<Duration> retry_after;
};

using Outcome = std::variant<Done, Refused>;

/// What the choice of a backend needs to know of the statement.
routing::Request routing_request(const StatementCall& call, bool in_transaction);

/// Why the database refused the statement itself: its own reason where that says more than "bad statement".
Reason statement_refused(const BackendName& backend, const std::string& detail, const Reason& reason);

/// Refuses a request while another copy of the same id is being served.
Reason same_id_in_flight();

/// A refusal says what came of this copy only. An earlier copy of a resent request may have run, unless the
/// request ledger says that it never will.
void doubt_earlier_copies(Refused& refused, bool resent);

/// A refusal that says when to come back, by the reason's code.
Refused refuse(Reason reason, http::RunState run_state = http::RunState::kNotRun);

}  // namespace cairnhollow::declared::proxy
