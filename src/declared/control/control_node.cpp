#include "declared/control/control_node.h"

#include <fmt/format.h>

#include <algorithm>

#include "consensus/raft.h"
#include "declared/control/control_core.h"
#include "declared/control/failover/node_health.h"
#include "declared/control/knobs.h"
#include "declared/control/operator/fleet_status.h"
#include "declared/control/operator/operator_api.h"
#include "declared/control/operator/operator_service_impl.h"
#include "declared/control/relay_node.h"
#include "declared/control/voter_repair.h"

namespace cairnhollow::declared::control {

namespace {

consensus::RaftSettings raft_settings(const ControlSettings& settings) {
  consensus::RaftSettings raft;
  raft.node = settings.node;
  raft.initial_members = settings.join ? std::vector<consensus::Member>() : settings.initial_members;
  raft.zone = settings.zone;
  raft.endpoint = settings.peer_endpoint;
  raft.election_timeout = settings.election_timeout;
  raft.heartbeat_interval = settings.heartbeat_interval;
  raft.snapshot_after_entries = settings.snapshot_after_entries;
  return raft;
}

/// A member of the consensus group, or a standby waiting to become one. Must live until the process ends,
/// because the coroutines of its components refer to it.
class ControlNode : public runtime::Role {
 public:
  ControlNode(runtime::Runtime& runtime, ControlSettings settings)
      : runtime_(runtime),
        settings_(std::move(settings)),
        replica_(runtime, settings_.feature_level),
        raft_(consensus::make_raft_node(runtime, replica_, raft_settings(settings_))),
        barrier_(*raft_),
        core_(runtime, settings_, replica_, barrier_,
              [this](PeerStatusMessage& message) { describe(message); }),
        fleet_(runtime, settings_.node, settings_.serving_lease, core_.follow_server(),
               core_.peer_exchange().peers(), *raft_),
        health_(
            runtime, replica_, core_.follow_server(), core_.groups(),
            [this](Reason& reason) { return knows_leader(reason); },
            [this](runtime::Metrics& metrics) { add_metrics(metrics); }),
        operator_service_(runtime, settings_.node, settings_.operator_endpoint, *raft_, replica_,
                          OperatorSources{core_.groups(), fleet_, core_.events(), core_.groups(), health_}),
        operator_api_(make_operator_api(runtime, operator_service_)),
        voter_repair_(runtime, *raft_, core_.peer_exchange().peers(), core_.events()) {}

  Awaitable<bool> start(Reason& reason) override {
    const bool recovered = co_await raft_->start(reason);
    if (!recovered) co_return false;
    core_.dispatcher().route(wire::Conversation::kConsensus,
                             [this](std::shared_ptr<runtime::FrameConnection> connection, wire::Hello hello) {
                               return raft_->serve(std::move(connection), std::move(hello.node));
                             });
    core_.start();
    voter_repair_.start();
    runtime_.spawn("control_members", watch_members());
    if (!core_.listen(reason)) co_return false;
    operator_server_ = runtime_.http().serve(settings_.operator_endpoint, *operator_api_, reason);
    if (!operator_server_) co_return false;
    health_.set_started();
    core_.events().record("control_node_started", settings_.node.value, "control node started");
    co_return true;
  }

  Awaitable<void> drain() override {
    core_.events().record("control_node_stopping", settings_.node.value, "planned shutdown started");
    stopping_ = true;
    health_.set_stopping();
    voter_repair_.stop();
    operator_server_->stop_accepting();
    core_.stop();
    co_await raft_->stop();
    core_.stop_peer_exchange();
  }

 private:
  /// Adds every member of the consensus group as a peer and records leader changes.
  Awaitable<void> watch_members() {
    NodeName leader;
    while (!stopping_) {
      const consensus::ConsensusStatus status = raft_->status();
      for (const auto& member : status.members) core_.peer_exchange().add_peer(member.endpoint);
      if (!status.leader.empty() && status.leader != leader) {
        core_.events().record("leader_elected", status.leader.value, election_message(status, leader));
        leader = status.leader;
      }
      co_await runtime_.sleep_for(kPeerMessageInterval);
    }
  }

  /// Describes the current leader and the cause of the election, from what this node knows of the previous
  /// leader.
  std::string election_message(const consensus::ConsensusStatus& status, const NodeName& before) {
    const std::string leads = fmt::format("became leader in term {}", status.term);
    if (before.empty()) return leads + "; cause: this node has known no leader since it started";
    if (before == settings_.node)
      return fmt::format("{}; cause: {} gave up or lost leadership", leads, before.value);
    const auto peer = core_.peer_exchange().peers().find(before);
    if (!peer)
      return fmt::format("{}; cause: no messages received from previous leader {}", leads, before.value);
    const std::int64_t silent = in_ms(runtime_.now() - peer->heard_at);
    return fmt::format("{}; cause: previous leader {} last heard from {} ms ago", leads, before.value,
                       silent);
  }

  void describe(PeerStatusMessage& message) const {
    message.sender.identity = raft_->identity();
    message.standby = settings_.join && !is_voter();
  }

  bool is_voter() const {
    const auto members = raft_->status().members;
    return std::any_of(members.begin(), members.end(), [this](const consensus::Member& member) {
      return member.node == settings_.node && member.role == consensus::MemberRole::kVoter;
    });
  }

  bool knows_leader(Reason& reason) const {
    if (!raft_->status().leader.empty()) return true;
    reason = Reason{ReasonCode::kNoQuorum, "ready", "", "no leader of the consensus group is known"};
    return false;
  }

  void add_metrics(runtime::Metrics& metrics) const {
    const consensus::ConsensusStatus status = raft_->status();
    const auto gauge = [&](const char* name, const char* help, std::uint64_t value) {
      metrics.gauge(name, help).Set(static_cast<double>(value));
    };
    const bool leads = status.state == consensus::ServerState::kLeader;
    gauge("cairnhollow_control_is_leader", "1 on the leader of the control nodes.", leads ? 1 : 0);
    gauge("cairnhollow_control_consensus_term", "Term of the consensus group.", status.term);
    gauge("cairnhollow_control_commit_index", "Last log index known to be committed.", status.commit_index);
    gauge("cairnhollow_control_applied_index", "Last log index applied.", status.applied_index);
  }

  runtime::Runtime& runtime_;
  ControlSettings settings_;
  ConfigReplica replica_;
  std::unique_ptr<consensus::RaftNode> raft_;
  ConsensusBarrier barrier_;
  ControlCore core_;
  FleetStatusSource fleet_;
  NodeHealth health_;
  OperatorServiceImpl operator_service_;
  std::unique_ptr<runtime::HttpHandler> operator_api_;
  VoterRepair voter_repair_;
  std::unique_ptr<runtime::HttpServer> operator_server_;
  bool stopping_ = false;
};

}  // namespace

std::unique_ptr<runtime::Role> make_control_node(runtime::Runtime& runtime, ControlSettings settings) {
  if (settings.relay) return make_relay_node(runtime, std::move(settings));
  return std::make_unique<ControlNode>(runtime, std::move(settings));
}

}  // namespace cairnhollow::declared::control
