// The Raft server, assembled from its components.
#pragma once

#include <memory>

#include "consensus/leadership.h"
#include "consensus/membership.h"
#include "consensus/peer_server.h"
#include "consensus/pending_proposals.h"
#include "consensus/read_barrier.h"
#include "consensus/read_index.h"

namespace cairnhollow::consensus {

class RaftServer : public RaftNode, private RaftObserver {
 public:
  RaftServer(runtime::Runtime& runtime, ReplicatedStateMachine& state_machine, RaftSettings settings);

  Awaitable<bool> start(Reason& reason) override;
  Awaitable<void> serve(std::shared_ptr<runtime::FrameConnection> connection, NodeName peer) override;
  Awaitable<void> stop() override;
  [[nodiscard]] std::string identity() const override { return state_.identity(); }

  Awaitable<std::optional<std::uint64_t>> propose(std::string command, TimePoint deadline,
                                                  Reason& reason) override;
  Awaitable<std::optional<std::uint64_t>> read_barrier(TimePoint deadline, Reason& reason) override;
  Awaitable<bool> add_member(Member member, TimePoint deadline, Reason& reason) override;
  Awaitable<bool> remove_member(NodeName node, TimePoint deadline, Reason& reason) override;
  Awaitable<bool> replace_member(NodeName lost, Member replacement, TimePoint deadline,
                                 Reason& reason) override;
  [[nodiscard]] ConsensusStatus status() const override;
  [[nodiscard]] bool leads() const override { return state_.role() == ServerState::kLeader; }
  [[nodiscard]] std::uint64_t term() const override { return state_.term(); }

 private:
  void leadership_ended(std::uint64_t term) override;
  void entries_applied() override;
  void role_changed() override;
  void configuration_changed() override;

  void on_elected(const VoterIdentities& voters);
  Awaitable<std::optional<std::uint64_t>> run_read_round(Reason& reason);
  bool check_proposal(const std::string& command, Reason& reason) const;
  bool check_running(const std::string& step, Reason& reason) const;

  runtime::Runtime& runtime_;
  RaftState state_;
  PeerTable peers_;
  Election election_;
  ReadBarrier read_barrier_;
  PeerServer peer_server_;
  PendingProposals proposals_;
  Membership membership_;
  std::shared_ptr<Leadership> leadership_;  ///< null unless this server is the leader
  bool started_ = false;
  bool stopping_ = false;
};

}  // namespace cairnhollow::consensus
