#include "declared/control/failover/failover_messages.h"

#include <fmt/format.h>

namespace cairnhollow::declared::control {

std::string failover_started_message(const GroupObservation& observation, FailoverCause cause,
                                     Duration held) {
  std::string seen = "no primary is known";
  for (const auto& member : observation.members) {
    if (member.member.backend != observation.known.primary) continue;
    seen = fmt::format("{} last answered {} ms ago{}", member.member.backend.value, in_ms(member.silent_for),
                       member.refused ? ", connections refused" : "");
  }
  const auto reported = observation.suspected ? "; suspected by a proxy" : "";
  return fmt::format("cause: {}, found {} ms ago; {}{}", failover_cause_name(cause), in_ms(held), seen,
                     reported);
}

std::string members_fenced_message(std::uint64_t term, const FenceResult& result) {
  std::string granted;
  for (const auto& grant : result.granted) {
    granted += fmt::format("{}{} (log ends at {}/{})", granted.empty() ? "" : ", ",
                           grant.member.backend.value, grant.last.term, grant.last.index);
  }
  std::string message = fmt::format("term {} granted by {}", term, granted);
  if (!result.refused.empty())
    message += fmt::format("; not granted by {} other members", result.refused.size());
  return message;
}

std::string primary_promoted_message(const FailoverOutcome& outcome, const BackendName& replaced,
                                     FailoverCause cause) {
  return fmt::format(
      "{} is primary of term {} in place of {}; {} members fenced; cause: {}; fence {} ms, promotion {} ms",
      outcome.primary.backend.value, outcome.term, replaced.empty() ? "none" : replaced.value, outcome.fenced,
      failover_cause_name(cause), in_ms(outcome.fencing_time), in_ms(outcome.promotion_time));
}

std::string failover_failed_message(const FailedAttempt& attempt, FailoverCause cause) {
  return fmt::format(
      "consecutive failures: {}; cause: {}; attempt took {} ms, with a limit of {} ms per call; next attempt "
      "in {} ms",
      attempt.failures_in_a_row, failover_cause_name(cause), in_ms(attempt.took), in_ms(attempt.call_timeout),
      in_ms(attempt.retry_delay));
}

}  // namespace cairnhollow::declared::control
