// Runs one failover attempt: fences a majority of the group at a new term, promotes the fenced member with
// the highest log position, and redirects the others to it (docs/BACKEND_CONTRACT.md explains why this is
// safe). Concurrent or frozen attempts are harmless: they can only use up a term.
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
  std::size_t voting_members = 0;  ///< as reported by the database
  std::uint64_t term = 0;          ///< higher than any observed term
  std::string owner;               ///< unique to this attempt
  /// The primary being replaced, if any. It is not fenced, so that log entries that only it holds cannot make
  /// it the candidate again. It may keep running until the other members reject its term.
  BackendName replaced;
  CandidatePreference preference;
  /// Switchover only: the only member that may be promoted. The other members are fenced first, and the
  /// target catches up meanwhile.
  std::optional<BackendName> target;
  /// Switchover only: nothing is fenced until the target's log reaches this position.
  Position target_position;
  Duration call_timeout = kFailoverCallTimeout;  ///< time limit of each call
};

struct FailoverOutcome {
  GroupMember primary;
  std::uint64_t term = 0;
  std::size_t fenced = 0;  ///< number of members that had granted the fence when the candidate was chosen
  /// Time until a candidate could be chosen. For a switchover, this includes the target's catch-up.
  Duration fencing_time{0};
  Duration promotion_time{0};  ///< time from then until the promotion succeeded
};

/// Fence responses at the time when the candidate is chosen.
struct FenceResult {
  std::vector<FenceGrant> granted;
  std::vector<Reason> refused;  ///< why members did not grant the fence; `peer` names the member
};

/// Single use. `runtime` and `connector` must outlive this object; its coroutines keep it alive.
class FailoverRun : public std::enable_shared_from_this<FailoverRun> {
 public:
  FailoverRun(runtime::Runtime& runtime, backend::BackendConnector& connector, FailoverPlan plan);

  /// `listener` is called once a majority is fenced, before anything is promoted.
  void on_fenced(std::function<void(const FenceResult&)> listener) { on_fenced_ = std::move(listener); }

  /// Returns std::nullopt and sets `reason` on failure. kNoQuorum: too few members granted the fence.
  /// kFenced: a member knows a higher term, see highest_term(). kDeadlineExceeded: the target did not catch
  /// up. kConflict: another member has a higher log position than the target. kNotFound: the target is not a
  /// member of the group. If the promotion itself fails, `reason` is that of the call; the promotion may
  /// still have taken effect, which later probes will show.
  Awaitable<std::optional<FailoverOutcome>> run(TimePoint deadline, Reason& reason);

  /// The highest term reported by any member, at least the term of the plan. The next attempt must use a
  /// higher one.
  [[nodiscard]] std::uint64_t highest_term() const { return highest_term_; }

 private:
  struct Participant {
    GroupMember member;
    std::shared_ptr<backend::BackendConnection> connection;
    std::optional<Position> granted;  ///< last log position when it granted the fence
    bool fence_requested = false;
    bool answered = false;  ///< the request was granted, refused or failed
    Reason reason;          ///< why the fence was not granted
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
  void request_fence(const ParticipantPointer& participant);
  [[nodiscard]] ParticipantPointer find(const BackendName& backend) const;
  [[nodiscard]] std::vector<FenceGrant> grants() const;
  [[nodiscard]] std::vector<Reason> refusals() const;
  [[nodiscard]] bool all_answered() const;
  [[nodiscard]] Reason missing_majority_reason() const;

  runtime::Runtime& runtime_;
  backend::BackendConnector& connector_;
  FailoverPlan plan_;
  std::vector<ParticipantPointer> participants_;
  std::uint64_t highest_term_ = 0;
  runtime::Signal answered_;
  std::function<void(const FenceResult&)> on_fenced_;
};

}  // namespace cairnhollow::declared::control
