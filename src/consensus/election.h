// Starts elections when the leader is not heard from (section 3.4), after a pre-vote (section 9.6).
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "consensus/peer_table.h"
#include "runtime/signal.h"

namespace cairnhollow::consensus {

/// Identities of the voters that granted a vote, by name. The first configuration of an unformed group is
/// built from them.
using VoterIdentities = std::map<NodeName, std::string>;

class Election {
 public:
  /// `on_elected` is called once for each election won, after become_leader().
  Election(RaftState& state, PeerTable& peers, std::function<void(VoterIdentities)> on_elected);

  /// Runs until the server halts.
  Awaitable<void> run();
  /// Starts an election immediately, without a pre-vote, for a leadership transfer (section 3.10).
  void start_now();
  /// Re-evaluates the election timer after a change of role, term or configuration.
  void notify() { changed_.notify_all(); }

 private:
  /// The votes of one election or pre-vote. Shared by the coroutines that request them.
  struct Ballot {
    VoteRequest request;
    VoterIdentities granted;
    std::size_t unanswered = 0;
  };

  /// The group is formed and no leader has been heard from since this server started.
  [[nodiscard]] bool is_first_election() const;
  [[nodiscard]] Duration choose_timeout() const;
  void log_campaign(bool leadership_transfer) const;
  Awaitable<void> campaign(bool leadership_transfer);
  Awaitable<bool> collect_votes(std::shared_ptr<Ballot> ballot, ServerState role);
  Awaitable<void> request_vote(std::shared_ptr<Ballot> ballot, Member member, TimePoint deadline);
  [[nodiscard]] VoteRequest make_request(bool pre_vote, std::uint64_t term) const;
  [[nodiscard]] bool has_quorum(const Ballot& ballot) const;
  void log_not_member(const Member& member);

  RaftState& state_;
  PeerTable& peers_;
  std::function<void(VoterIdentities)> on_elected_;
  runtime::Signal changed_;
  TimePoint last_campaign_;
  TimePoint excused_silence_start_{};  ///< start of the silence that was already excused once
  TimePoint ignore_silence_until_{};   ///< until then, own delays are too recent to declare the leader silent
  bool transfer_requested_ = false;
  bool not_member_logged_ = false;
};

}  // namespace cairnhollow::consensus
