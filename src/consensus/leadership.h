// What a leader does during one term: appends, decides what is committed, confirms that it still leads.
#pragma once

#include <map>
#include <memory>
#include <optional>

#include "consensus/election.h"
#include "consensus/replicator.h"

namespace cairnhollow::consensus {

class Leadership {
 public:
  Leadership(RaftState& state, PeerTable& peers);

  /// Appends the first entry of the term (no-op, or the formation of an unformed group) and starts to
  /// replicate. `self` is kept by the loops.
  void start(const std::shared_ptr<Leadership>& self, const VoterIdentities& voters);
  /// The term of leadership is over: wakes all waiters and ends the loops.
  void end();
  [[nodiscard]] bool active() const { return !ended_ && state_.is_leader_of(term_); }
  [[nodiscard]] std::uint64_t term() const { return term_; }

  /// Appends an entry and returns its index; it is not durable and not committed yet.
  std::uint64_t append(EntryKind kind, std::string payload);
  /// True once an entry of this term is committed: only then is the commit index known to be the
  /// group's (section 6.4), and a member change safe (section 4.1).
  [[nodiscard]] bool has_committed_own_entry() const;

  /// Starts a round of heartbeats to all voters and returns its number.
  std::uint64_t begin_round();
  /// True once a quorum answered a heartbeat of this round or a later one.
  [[nodiscard]] bool is_round_confirmed(std::uint64_t round) const;

  /// Notified when a round or the commit index may have moved on, and by end().
  [[nodiscard]] runtime::Signal& progress() { return progress_; }
  /// Null when the member is not replicated to.
  [[nodiscard]] std::shared_ptr<Replicator> replicator(const MemberKey& key) const;
  /// Replicates to exactly the members of the latest configuration.
  void follow_configuration();
  /// The other voter that holds most of the log and answered lately; empty when there is none.
  [[nodiscard]] std::optional<Member> successor() const;

 private:
  Awaitable<void> run_flush(std::shared_ptr<Leadership> self);
  Awaitable<void> run_quorum_check(std::shared_ptr<Leadership> self);
  void advance_commit_index();
  void complete_joint_change();
  void step_down_if_removed();
  [[nodiscard]] std::uint64_t match_index(const Member& member) const;
  [[nodiscard]] bool hears_quorum() const;
  [[nodiscard]] bool is_self(const Member& member) const;
  void record_progress();

  RaftState& state_;
  PeerTable& peers_;
  const std::uint64_t term_;
  runtime::Signal progress_;
  runtime::Signal appended_;
  std::map<MemberKey, std::shared_ptr<Replicator>> replicators_;
  std::uint64_t round_ = 0;
  TimePoint judged_from_{};  ///< until then the leader was held up too lately to call others silent
  bool excused_ = false;     ///< it was so once since it heard a quorum, and is not again
  bool ended_ = false;
};

}  // namespace cairnhollow::consensus
