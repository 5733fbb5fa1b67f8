#include "standins/database/request_ledger.h"

#include <algorithm>

namespace cairnhollow::standins::database {

std::optional<RequestOutcome> RequestLedger::find(const RequestId& request) const {
  const auto session = sessions_.find(request.session);
  if (session == sessions_.end()) return std::nullopt;
  const auto outcome = session->second.outcomes.find(request.number);
  if (outcome == session->second.outcomes.end()) return std::nullopt;
  return outcome->second;
}

bool RequestLedger::expired(const RequestId& request) const {
  const auto session = sessions_.find(request.session);
  return session != sessions_.end() && request.number <= session->second.expired_up_to;
}

void RequestLedger::record(const RequestId& request, RequestOutcome outcome, std::uint64_t answered_up_to) {
  auto& session = sessions_[request.session];
  session.outcomes.emplace(request.number, std::move(outcome));
  // A request in flight can't have been answered: its own outcome stays whatever the session claims.
  expire_up_to(session, std::min(answered_up_to, request.number - 1));
  while (session.outcomes.size() > entries_per_session_) {
    expire_up_to(session, session.outcomes.begin()->first);
  }
}

void RequestLedger::expire_up_to(Session& session, std::uint64_t number) {
  session.expired_up_to = std::max(session.expired_up_to, number);
  session.outcomes.erase(session.outcomes.begin(), session.outcomes.upper_bound(number));
}

}  // namespace cairnhollow::standins::database
