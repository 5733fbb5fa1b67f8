// What is the same for single statements and those of open transactions while a backend runs them.
#pragma once

#include <optional>

#include "registered/proxy/session_services.h"
#include "registered/proxy/statement/statement_request.h"

namespace cairnhollow::registered::proxy {

/// Gives back the place that a statement took, with what its answer tells of the backend.
inline void leave_gate(StatementGate& gate, const std::optional<Answer>& answer, Duration latency) {
  if (!answer) return gate.leave_unanswered();
  if (answer->refusal == Refusal::kBusy) return gate.leave_busy();
  // What was not run was answered at once and tells nothing about the time that statements take.
  if (answer->refusal) return gate.leave_unanswered();
  gate.leave(latency);
}

/// A statement at a primary, taken out of the group's list when the scope ends.
class WorkScope {
 public:
  WorkScope(PrimaryHealth& primary, PendingStatement work)
      : primary_(primary), key_(primary.add_pending(std::move(work))) {}
  ~WorkScope() { primary_.remove_pending(key_); }
  WorkScope(const WorkScope&) = delete;
  WorkScope& operator=(const WorkScope&) = delete;

 private:
  PrimaryHealth& primary_;
  std::uint64_t key_;
};

/// The order as the link's backend is asked for it. `required`: the position that the backend must show to
/// hold.
BackendRequest make_request(const StatementRequest& order, const StatefulLink& link,
                            std::optional<Position> required);

/// A primary's success, as it was asked for.
struct PrimaryAnswer {
  std::uint64_t epoch = 0;  ///< in which it was asked
  TimePoint asked_at{};
  bool commits = false;
};
/// Records where the primary's log is, and what is acknowledged from now on. A commit whose primary was given
/// up meanwhile is in doubt.
void take_primary_answer(const SessionServices& services, GroupAccess& group, PrimaryAnswer primary,
                         Answer& answer);

}  // namespace cairnhollow::registered::proxy
