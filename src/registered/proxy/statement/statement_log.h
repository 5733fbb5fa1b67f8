// What a proxy logs of callers' statements: refusals, lost answers, and where the time of slow ones went.
#pragma once

#include "registered/proxy/session_services.h"
#include "registered/proxy/statement/statement_attempt.h"
#include "registered/proxy/statement/statement_request.h"

namespace cairnhollow::registered::proxy {

/// A statement that took longer is logged with where its time went. Chosen, not measured: several times the
/// work of a statement (4 to 30 ms on the deployments).
inline constexpr Duration kSlowStatement = std::chrono::milliseconds(200);

class StatementLog {
 public:
  explicit StatementLog(SessionServices services) : services_(services) {}

  void slow(const StatementAttempt& attempt) const;
  void lost_answer(const StatementAttempt& attempt, const Reason& reason) const;
  /// Also counts what this proxy itself refused. `attempts`: backends tried.
  void refusal(const StatementRequest& order, const Answer& answer, const Reason& reason, int attempts,
               const Unplaced& unplaced = {}) const;

 private:
  SessionServices services_;
};

}  // namespace cairnhollow::registered::proxy
