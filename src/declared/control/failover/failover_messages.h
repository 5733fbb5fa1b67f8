// Formats the event messages of a failover, one per phase: started, fenced, promoted or failed.
#pragma once

#include <string>

#include "declared/control/failover/failover_run.h"

namespace cairnhollow::declared::control {

/// `held` is the time for which the cause had persisted when the failover started.
std::string failover_started_message(const GroupObservation& observation, FailoverCause cause, Duration held);
/// Lists the members that granted the fence, with the last log position of each, and the number of members
/// that were asked but did not grant it.
std::string members_fenced_message(std::uint64_t term, const FenceResult& result);
/// `replaced` is the previous primary; empty if there was none.
std::string primary_promoted_message(const FailoverOutcome& outcome, const BackendName& replaced,
                                     FailoverCause cause);

/// A failover attempt that did not promote a primary.
struct FailedAttempt {
  std::uint32_t failures_in_a_row = 1;  ///< including this attempt
  Duration took{0};
  Duration call_timeout{0};  ///< time limit of each call in the attempt
  Duration retry_delay{0};   ///< delay before the next attempt
};
std::string failover_failed_message(const FailedAttempt& attempt, FailoverCause cause);

}  // namespace cairnhollow::declared::control
