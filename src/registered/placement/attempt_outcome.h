// What an attempt to run a statement means for the statement, its backend and its group, once the backend has
// answered, refused, or given no answer: run again, elsewhere, refuse, or in doubt. Pure.
//
// A statement of which the backend says that it did not run it is run again. One without an answer is run
// again where nothing is lost by a second run; else its outcome is in doubt, and the caller is told so. What
// needs the primary waits a moment and asks it again, for nobody else may run it; what does not goes to
// another backend.
#pragma once

#include <cstdint>
#include <optional>

#include "base/types.h"
#include "registered/protocol/statement.h"

namespace cairnhollow::registered::placement {

/// A backend that gave no answer, or took no connection, is passed over for this long where another can
/// serve. Chosen, not measured.
inline constexpr Duration kAvoidBackend = std::chrono::milliseconds(400);

enum class NextStep : std::uint8_t {
  kAnswer,            ///< the caller is answered
  kChooseAgain,       ///< a backend is chosen at once
  kPauseAndTryAgain,  ///< after kRetryPause
};

/// Where a statement goes that has to be run again.
struct Retry {
  NextStep next = NextStep::kAnswer;
  bool passes_over = false;  ///< the statement does not come back to this backend
};
Retry run_again(bool needs_primary);

/// The attempt, as far as its end is judged by it.
struct AttemptFacts {
  bool reads = false;          ///< it, or the transaction that it opens, changes nothing
  bool repeatable = false;     ///< nothing is lost when it runs once more
  bool needs_primary = false;  ///< nobody else may run it
  bool primary_only = false;   ///< of a read: no replica is known to have what it must see
  bool at_primary = false;
  bool term_is_current = false;  ///< no other term has begun since the backend was chosen
  bool may_use_primary = false;  ///< that of the term in which it was chosen
  int attempts = 1;              ///< backends tried, this one included
};

/// No link to the backend was to be had.
struct LinkFailure {
  bool refused = false;  ///< the backend answered, and takes no connection
  bool full = false;     ///< all links are in use, or it took no more a moment ago
};
struct LinkFailureOutcome {
  bool avoid_backend = false;        ///< for kAvoidBackend
  bool primary_unreachable = false;  ///< from here: control is told, and other proxies are asked
  bool may_be_reborn = false;        ///< the backend's process may have ended
};
LinkFailureOutcome after_link_failure(const LinkFailure& failure, bool at_primary);

/// No whole answer came.
struct LossFacts {
  bool may_have_arrived = false;  ///< the backend may have seen it
  bool connection_lost = false;   ///< broken off, rather than late
};
struct LossOutcome {
  Retry retry;                   ///< kAnswer: it is in doubt
  bool may_be_reborn = false;    ///< the backend's process may have ended
  bool suspect_primary = false;  ///< control is told
  bool broke_off = false;        ///< counts towards a primary that breaks off all that it is sent
};
LossOutcome after_loss(const AttemptFacts& attempt, const LossFacts& loss);
/// Whether the backend may have ended, when what was sent to it in the term that is still the group's had no
/// answer. In a later one this proxy has closed the links itself.
bool may_be_reborn(const LossFacts& loss, bool term_is_current);
/// Whether a caller whose answer is lost is told that the outcome is in doubt; `keeps_changes`: it is a
/// write, or a commit of writes. All else has left nothing.
bool is_in_doubt(bool keeps_changes, bool may_have_arrived);

/// What a refusal by the backend tells of the backend and its link.
struct RefusalEffects {
  bool suspect_primary = false;
  bool close_link = false;
  bool forget_prepared = false;  ///< the link holds none of the statements that were prepared on it
  bool record_lag = false;       ///< the replica lacks the position that it was asked for
};
/// Of a statement.
RefusalEffects effects_of_refusal(Refusal refusal, const AttemptFacts& attempt);
/// Of the beginning of a transaction.
RefusalEffects effects_of_refused_begin(Refusal refusal, bool primary_only);

/// Whether the statement is run again after the backend's answer, and where; kAnswer: the caller gets it.
Retry after_answer(const std::optional<Refusal>& refusal, const AttemptFacts& attempt);

/// What a success at the primary is worth.
struct PrimarySuccess {
  bool record_position = false;  ///< the answer shows where the primary's log is
  bool acknowledge = false;      ///< what the position covers counts as acknowledged
  bool in_doubt = false;         ///< a commit whose primary was given up before the answer came
};
PrimarySuccess after_primary_success(bool commits, bool may_use_primary, bool has_position);

}  // namespace cairnhollow::registered::placement
