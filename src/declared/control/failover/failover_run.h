// One attempt to give a database group a primary at a new term: fence a majority, promote the member with the
// highest position among them, tell the others to follow (docs/BACKEND_CONTRACT.md says why that is safe).
// Two attempts at once, or one that was frozen in between, can only waste a term.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "declared/backend/backend_connection.h"
#include "declared/control/failover/failover_rules.h"
#include "declared/control/knobs.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::declared::control {

struct FailoverPlan {
  GroupDefinition definition;
  std::size_t voting_members = 0;  ///< as the database counts them
  std::uint64_t term = 0;          ///< higher than any seen
  std::string owner;               ///< used for this attempt only
  /// A primary that is to be replaced: it is not fenced, so that its tail that no other member has can't make
  /// it the candidate again. It may go on until the others refuse its term.
  BackendName replaced;
  CandidatePreference preference;
  /// Planned: only this member may be promoted; the others are fenced first, and it catches up meanwhile.
  std::optional<BackendName> target;
  Position target_position;  ///< planned: nothing is fenced before the target's log reaches this
  Duration call_timeout = kFailoverCallTimeout;  ///< each call ends by then
};

struct FailoverOutcome {
  GroupMember primary;
  std::uint64_t term = 0;
  std::size_t fenced = 0;  ///< members that had granted the fence when the candidate was chosen
  Duration fencing{0};     ///< until a candidate could be chosen; planned: with its catching up
  Duration promoting{0};   ///< from there on
};

/// How the members answered the fence, when the candidate is chosen.
struct FenceResult {
  std::vector<FenceGrant> granted;
  std::vector<Reason> refused;  ///< why others did not grant it, with the member as peer
};

/// Use once. `runtime` and `connector` outlive it; it is kept alive by its own coroutines.
class FailoverRun : public std::enable_shared_from_this<FailoverRun> {
 public:
  FailoverRun(runtime::Runtime& runtime, backend::BackendConnector& connector, FailoverPlan plan);

  /// Called as soon as a majority is fenced, before anything is promoted.
  void on_fenced(std::function<void(const FenceResult&)> listener) { on_fenced_ = std::move(listener); }

  /// kNoQuorum: too few granted the fence; kFenced: a member knows a higher term, see highest_term();
  /// kDeadlineExceeded: the target did not catch up. A failed promotion passes its own reason on: it may
  /// still have been carried out, which the probes will show.
  Awaitable<std::optional<FailoverOutcome>> run(TimePoint deadline, Reason& reason);

  /// The highest term that any member named; the next attempt needs a higher one.
  [[nodiscard]] std::uint64_t highest_term() const { return highest_term_; }

 private:
  struct Participant {
    GroupMember member;
    std::shared_ptr<backend::BackendConnection> connection;
    std::optional<Position> granted;  ///< end of its log when it granted the fence
    bool asked = false;
    bool answered = false;  ///< granted, refused or failed
    Reason reason;          ///< why not granted
  };
  using ParticipantPointer = std::shared_ptr<Participant>;

  Awaitable<bool> fence_majority(Reason& reason);
  Awaitable<bool> prepare_target(TimePoint deadline, Reason& reason);
  Awaitable<bool> catch_up(ParticipantPointer target, Position position, TimePoint deadline, Reason& reason);
  Awaitable<void> fence(std::shared_ptr<FailoverRun> self, ParticipantPointer participant);
  Awaitable<bool> promote(ParticipantPointer candidate, Reason& reason);
  Awaitable<void> redirect(std::shared_ptr<FailoverRun> self, ParticipantPointer participant,
                           GroupMember primary);
  Awaitable<std::shared_ptr<backend::BackendConnection>> connect(ParticipantPointer participant,
                                                                 TimePoint deadline, Reason& reason);
  void ask_fence(const ParticipantPointer& participant);
  [[nodiscard]] ParticipantPointer find(const BackendName& backend) const;
  [[nodiscard]] std::vector<FenceGrant> grants() const;
  [[nodiscard]] std::vector<Reason> refusals() const;
  [[nodiscard]] bool all_answered() const;
  [[nodiscard]] Reason missing_majority() const;

  runtime::Runtime& runtime_;
  backend::BackendConnector& connector_;
  FailoverPlan plan_;
  std::vector<ParticipantPointer> participants_;
  std::uint64_t highest_term_ = 0;
  runtime::Signal answered_;
  std::function<void(const FenceResult&)> on_fenced_;
};

}  // namespace cairnhollow::declared::control
