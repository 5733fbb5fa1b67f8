// Starts elections when no leader is heard (section 3.4), a pre-vote first (section 9.6).
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "consensus/peer_table.h"
#include "runtime/signal.h"

namespace cairnhollow::consensus {

/// Identities of the voters that granted a vote, by name: what an unformed group is formed from.
using VoterIdentities = std::map<NodeName, std::string>;

class Election {
 public:
  /// `elected` is called once per won election, after become_leader().
  Election(RaftState& state, PeerTable& peers, std::function<void(VoterIdentities)> elected);

  /// Runs until the server halts.
  Awaitable<void> run();
  /// The leader hands over: start an election at once, without pre-vote (section 3.10).
  void start_now();
  /// Role, term or configuration changed: look again.
  void notify() { changed_.notify_all(); }

 private:
  /// Votes of one election or pre-vote. Kept by the coroutines that ask for them.
  struct Ballot {
    VoteRequest request;
    VoterIdentities granted;
    std::size_t unanswered = 0;
  };

  /// No leader was heard since the start, and the group was formed before it.
  [[nodiscard]] bool is_first_election() const;
  [[nodiscard]] Duration choose_timeout() const;
  void record_campaign(bool leadership_transfer) const;
  Awaitable<void> campaign(bool leadership_transfer);
  Awaitable<bool> gather_votes(std::shared_ptr<Ballot> ballot, ServerState role);
  Awaitable<void> ask(std::shared_ptr<Ballot> ballot, Member member, TimePoint deadline);
  [[nodiscard]] VoteRequest make_request(bool pre_vote, std::uint64_t term) const;
  [[nodiscard]] bool has_quorum(const Ballot& ballot) const;
  void record_not_member(const Member& member);

  RaftState& state_;
  PeerTable& peers_;
  std::function<void(VoterIdentities)> elected_;
  runtime::Signal changed_;
  TimePoint last_campaign_;
  TimePoint excused_{};      ///< the silence that began then was excused once, and is not again
  TimePoint judged_from_{};  ///< until then this node was held up too lately to call the leader silent
  bool transfer_requested_ = false;
  bool not_member_logged_ = false;
};

}  // namespace cairnhollow::consensus
