// What the events of a failover say, phase by phase: found, fenced, promoted or failed.
#pragma once

#include <string>

#include "declared/control/failover/failover_run.h"

namespace cairnhollow::declared::control {

/// `held`: how long the cause had lasted before the failover was begun.
std::string failover_started_message(const GroupObservation& observation, FailoverCause cause, Duration held);
/// Who granted the term, with the end of its log, and how many of those asked did not.
std::string members_fenced_message(std::uint64_t term, const FenceResult& result);
/// `replaced`: the primary before; empty when there was none.
std::string primary_promoted_message(const FailoverOutcome& outcome, const BackendName& replaced,
                                     FailoverCause cause);

/// An attempt that put no primary in place.
struct FailedAttempt {
  std::uint32_t failures_in_a_row = 1;  ///< this one included
  Duration took{0};
  Duration call_timeout{0};  ///< what each of its calls was given
  Duration next_after{0};    ///< until the next attempt
};
std::string failover_failed_message(const FailedAttempt& attempt, FailoverCause cause);

}  // namespace cairnhollow::declared::control
