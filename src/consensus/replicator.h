// Replicates the leader's log to one member during one term (section 3.5), by entries or by snapshot, and
// sends it heartbeats. A slow member does not delay others.
#pragma once

#include <functional>
#include <memory>

#include "consensus/peer_table.h"
#include "runtime/signal.h"

namespace cairnhollow::consensus {

class Replicator {
 public:
  /// `on_progress` is called after an answer changed this object's knowledge of the member.
  Replicator(RaftState& state, PeerTable& peers, Member member, std::function<void()> on_progress);

  /// Starts the replication and heartbeat loops, which end with the term of leadership or by stop().
  void start(const std::shared_ptr<Replicator>& self);
  void stop();
  /// Notifies the replicator of new entries or a new commit index to send.
  void wake() { changed_.notify_all(); }
  /// Sends a heartbeat of this round immediately.
  void begin_round(std::uint64_t round);

  [[nodiscard]] const Member& member() const { return member_; }
  /// The identity in the member's answers; empty before its first answer.
  [[nodiscard]] const std::string& known_identity() const { return known_identity_; }
  /// Highest index known to be durable on the member, from its answers.
  [[nodiscard]] std::uint64_t match_index() const { return match_index_; }
  /// The latest round with an answered heartbeat.
  [[nodiscard]] std::uint64_t acknowledged_round() const { return acknowledged_round_; }
  /// When the latest answered request was *sent*.
  [[nodiscard]] TimePoint last_contact() const { return last_contact_; }

 private:
  Awaitable<void> run_replication(std::shared_ptr<Replicator> self);
  Awaitable<void> run_heartbeats(std::shared_ptr<Replicator> self);
  Awaitable<void> send_heartbeat(std::shared_ptr<Replicator> self, std::uint64_t round);
  Awaitable<bool> send_entries();
  Awaitable<bool> send_snapshot();
  Awaitable<std::optional<PeerAnswer>> call(RequestBody body);
  bool accept(const PeerAnswer& answer, TimePoint sent_at);
  [[nodiscard]] bool active() const { return !stopped_ && state_.is_leader_of(term_); }
  [[nodiscard]] bool has_pending_updates() const;
  /// Learners do not vote or start elections, so they receive less frequent heartbeats, but within the
  /// election timeout of a learner that becomes a voter.
  [[nodiscard]] Duration heartbeat_interval() const;
  void log_other_identity();

  RaftState& state_;
  PeerTable& peers_;
  const Member member_;
  const std::function<void()> on_progress_;
  const std::uint64_t term_;
  runtime::Signal changed_;            ///< wakes the replication loop
  runtime::Signal heartbeat_changed_;  ///< wakes the heartbeat loop
  std::string known_identity_;
  std::uint64_t next_index_;
  std::uint64_t match_index_ = 0;
  std::uint64_t sent_commit_index_ = 0;
  std::uint64_t requested_round_ = 0;
  std::uint64_t sent_round_ = 0;
  std::uint64_t acknowledged_round_ = 0;
  TimePoint last_contact_;
  std::size_t heartbeats_in_flight_ = 0;
  bool other_identity_logged_ = false;
  bool stopped_ = false;
};

}  // namespace cairnhollow::consensus
