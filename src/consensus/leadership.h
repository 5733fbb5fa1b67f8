// Leader duties during one term: appending entries, advancing the commit index, and confirming leadership.
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

  /// Appends the first entry of the term (a no-op, or the configuration of an unformed group) and starts
  /// replication. The loops keep `self` alive.
  void start(const std::shared_ptr<Leadership>& self, const VoterIdentities& voters);
  /// Ends this term of leadership: wakes all waiters and ends the loops.
  void end();
  [[nodiscard]] bool active() const { return !ended_ && state_.is_leader_of(term_); }
  [[nodiscard]] std::uint64_t term() const { return term_; }

  /// Appends an entry and returns its index. The entry is neither durable nor committed on return.
  std::uint64_t append(EntryKind kind, std::string payload);
  /// Returns true once an entry of this term is committed. Only then is the commit index known to be current
  /// for the group (section 6.4), and a membership change safe (section 4.1).
  [[nodiscard]] bool has_committed_own_entry() const;

  /// Starts a round of heartbeats to all voters and returns the round's number.
  std::uint64_t begin_round();
  /// Returns true once a quorum has answered a heartbeat of this round or a later one.
  [[nodiscard]] bool is_round_confirmed(std::uint64_t round) const;

  /// Notified when a round or the commit index may have advanced, and by end().
  [[nodiscard]] runtime::Signal& progress() { return progress_; }
  /// Returns null if there is no replication to this member.
  [[nodiscard]] std::shared_ptr<Replicator> replicator(const MemberKey& key) const;
  /// Starts and stops replicators to match the members of the latest configuration.
  void update_replicators();
  /// Returns the most up-to-date other voter that answered recently, or std::nullopt if there is none.
  [[nodiscard]] std::optional<Member> choose_transfer_target() const;

 private:
  Awaitable<void> run_flush(std::shared_ptr<Leadership> self);
  Awaitable<void> run_quorum_check(std::shared_ptr<Leadership> self);
  void advance_commit_index();
  void complete_joint_change();
  void step_down_if_removed();
  [[nodiscard]] std::uint64_t match_index(const Member& member) const;
  [[nodiscard]] bool has_recent_quorum_contact() const;
  [[nodiscard]] bool is_self(const Member& member) const;
  void record_progress();

  RaftState& state_;
  PeerTable& peers_;
  const std::uint64_t term_;
  runtime::Signal progress_;
  runtime::Signal appended_;
  std::map<MemberKey, std::shared_ptr<Replicator>> replicators_;
  std::uint64_t round_ = 0;
  TimePoint ignore_silence_until_{};  ///< until then, own delays are too recent to declare others silent
  bool delay_excused_ = false;  ///< a delay was excused since the last quorum contact; the next one is not
  bool ended_ = false;
};

}  // namespace cairnhollow::consensus
