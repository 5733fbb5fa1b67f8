// Logs refused statements, lost answers, and the time that slow statements spent in each phase.
#pragma once

#include "registered/proxy/session_services.h"
#include "registered/proxy/statement/statement_attempt.h"
#include "registered/proxy/statement/statement_request.h"

namespace cairnhollow::registered::proxy {

/// A statement that takes longer than this is logged as slow.
inline constexpr Duration kSlowStatementThreshold = std::chrono::milliseconds(200);

class StatementLog {
 public:
  explicit StatementLog(SessionServices services) : services_(services) {}

  void slow(const StatementAttempt& attempt) const;
  void lost_answer(const StatementAttempt& attempt, const Reason& reason) const;
  /// Also counts the refusal in the metrics. `reason`: the last failure on the statement's way, if any.
  /// `attempts`: number of backends tried.
  void refusal(const StatementRequest& request, const Answer& answer, const Reason& reason, int attempts,
               const StatementRefusal& refusal) const;

 private:
  SessionServices services_;
};

}  // namespace cairnhollow::registered::proxy
