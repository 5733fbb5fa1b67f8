// Decides how the end of an attempt (answer, refusal or lost answer) affects the statement, its backend and
// its group. Pure functions.
//
// A statement that the backend reports as not run is retried: at the primary after a pause if it needs the
// primary, at another backend otherwise. A lost answer is retried only if the statement can safely run twice;
// otherwise the caller gets "in doubt".
#pragma once

#include <cstdint>
#include <optional>

#include "base/types.h"
#include "registered/protocol/statement.h"

namespace cairnhollow::registered::placement {

/// How long a backend that gave no answer, or accepted no connection, is avoided if another one can serve.
inline constexpr Duration kBackendAvoidanceTime = std::chrono::milliseconds(400);

enum class NextStep : std::uint8_t {
  kAnswer,           ///< answer the caller
  kReselectBackend,  ///< choose a backend immediately
  kRetryAfterPause,  ///< choose a backend after kRetryPause
};

/// Whether and how a statement is retried.
struct Retry {
  NextStep next = NextStep::kAnswer;
  bool excludes_backend = false;  ///< exclude this backend from later attempts
};
Retry make_retry(bool needs_primary);

/// The properties of an attempt that determine the effect of its end.
struct AttemptFacts {
  bool reads = false;          ///< the statement, or the transaction that it opens, is read-only
  bool repeatable = false;     ///< running it twice is safe
  bool needs_primary = false;  ///< only the primary may run it
  bool primary_only = false;   ///< for reads: no replica is known to hold the required position
  bool at_primary = false;
  bool term_is_current = false;  ///< the group's term has not changed since the backend was chosen
  /// The primary of the term in which the backend was chosen may still be used.
  bool may_use_primary = false;
  int attempts = 1;  ///< number of backends tried, including this one
};

/// Why no link to the backend could be acquired.
struct LinkFailure {
  bool refused = false;  ///< the backend answered but rejected the connection
  bool full = false;     ///< all links are in use, or it recently rejected a further connection
};
struct LinkFailureOutcome {
  bool avoid_backend = false;        ///< for kBackendAvoidanceTime
  bool primary_unreachable = false;  ///< from this proxy: reported to control; other proxies are tried
  bool may_have_restarted = false;   ///< the backend process may have restarted
};
LinkFailureOutcome after_link_failure(const LinkFailure& failure, bool at_primary);

/// How a complete answer failed to arrive.
struct LossFacts {
  bool may_have_arrived = false;  ///< the backend may have received the statement
  bool connection_lost = false;   ///< the connection broke, as opposed to a timeout
};
struct LossOutcome {
  Retry retry;                      ///< kAnswer: the outcome is in doubt
  bool may_have_restarted = false;  ///< the backend process may have restarted
  bool suspect_primary = false;     ///< report the primary to control
  /// Counts towards detecting a primary that drops every connection on use.
  bool counts_as_disconnect = false;
};
LossOutcome after_loss(const AttemptFacts& attempt, const LossFacts& loss);
/// Whether the backend process may have restarted. Only a connection lost in the current term counts: when
/// the term changes, this proxy closes the links itself.
bool may_have_restarted(const LossFacts& loss, bool term_is_current);
/// Whether a lost answer leaves the outcome in doubt. `makes_durable_changes`: the statement is a write, or a
/// commit of writes; anything else has no lasting effect.
bool is_in_doubt(bool makes_durable_changes, bool may_have_arrived);

/// What a refusal implies for the backend and its link.
struct RefusalEffects {
  bool suspect_primary = false;
  bool close_link = false;
  bool forget_prepared = false;  ///< the link's prepared statements no longer exist
  bool record_lag = false;       ///< the replica has not reached the required position
};
/// For a refused statement.
RefusalEffects effects_of_refusal(Refusal refusal, const AttemptFacts& attempt);
/// For a refused Begin of a transaction.
RefusalEffects effects_of_refused_begin(Refusal refusal, bool primary_only);

/// Whether and how the statement is retried after the backend's answer. kAnswer: the caller gets the answer.
Retry after_answer(const std::optional<Refusal>& refusal, const AttemptFacts& attempt);

/// What follows from a success reported by the primary.
struct PrimarySuccess {
  bool record_position = false;  ///< the answer carries the primary's current log position
  bool acknowledge = false;      ///< everything up to that position is acknowledged
  /// A commit that can't be confirmed: the primary may not be used any more, or sent no position.
  bool in_doubt = false;
};
PrimarySuccess after_primary_success(bool commits, bool may_use_primary, bool has_position);

}  // namespace cairnhollow::registered::placement
