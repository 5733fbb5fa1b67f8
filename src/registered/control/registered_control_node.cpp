#include "registered/control/registered_control_node.h"

#include <fmt/format.h>

#include "consensus/raft.h"
#include "registered/control/control_metrics.h"
#include "registered/control/control_node_directory.h"
#include "registered/control/failover/group_keeper.h"
#include "registered/control/failover/group_prober.h"
#include "registered/control/leader_calls.h"
#include "registered/control/leases/lease_keeper.h"
#include "registered/control/registration_service.h"
#include "registered/control/voter_keeper.h"
#include "registered/registry/state_machine.h"
#include "wire/connection_dispatcher.h"

namespace cairnhollow::registered::control {

namespace {

/// Maximum time for which a stopping control node waits to be replaced as a voter. With what follows it stays
/// within the grace period of the platform, 6 s.
constexpr Duration kVoteReleaseTimeout = std::chrono::seconds(3);

std::vector<consensus::Member> first_members(const RegisteredControlSettings& settings) {
  std::vector<consensus::Member> members;
  bool is_seed = false;
  for (const Endpoint& seed : settings.seeds) {
    const Endpoint endpoint{seed.address, settings.peer_endpoint.port};
    is_seed = is_seed || endpoint == settings.peer_endpoint;
    consensus::Member member;
    member.node = consensus_name(endpoint);
    member.endpoint = endpoint;
    members.push_back(std::move(member));
  }
  if (!settings.first_start || !is_seed) members.clear();
  return members;
}

consensus::RaftSettings raft_settings(const RegisteredControlSettings& settings) {
  consensus::RaftSettings raft;
  raft.node = consensus_name(settings.peer_endpoint);
  raft.initial_members = first_members(settings);
  raft.zone = settings.zone;
  raft.endpoint = settings.peer_endpoint;
  raft.election_timeout = settings.election_timeout;
  raft.first_election_timeout = settings.first_election_timeout;
  raft.heartbeat_interval = settings.heartbeat_interval;
  return raft;
}

std::vector<Endpoint> seed_peers(const RegisteredControlSettings& settings) {
  std::vector<Endpoint> peers;
  for (const Endpoint& seed : settings.seeds) peers.push_back({seed.address, settings.peer_endpoint.port});
  return peers;
}

std::vector<ZoneName> zones_of(const RegisteredControlSettings& settings) {
  std::vector<ZoneName> zones;
  for (const auto& [zone, region] : settings.zone_regions) zones.push_back(zone);
  return zones;
}

/// Must live until the process ends, because the coroutines of its components refer to it.
class RegisteredControlNode : public runtime::Role {
 public:
  RegisteredControlNode(runtime::Runtime& runtime, RegisteredControlSettings settings,
                        const ControlNodeFactories& factories)
      : runtime_(runtime),
        settings_(std::move(settings)),
        fleet_(runtime),
        raft_(consensus::make_raft_node(runtime, fleet_, raft_settings(settings_))),
        directory_(seed_peers(settings_), *raft_),
        calls_(runtime, *raft_, directory_, settings_.node, settings_.peer_endpoint),
        leases_(runtime, *raft_, fleet_, directory_, calls_, settings_.serving_lease),
        dialer_(factories.make_dialer(runtime, settings_.node)),
        prober_(runtime, *dialer_),
        promotions_(factories.make_promotions(runtime, settings_.promotion_endpoint)),
        groups_(runtime, *raft_, fleet_, calls_, leases_, prober_, *promotions_,
                {settings_.node, locality::RegionMap(settings_.zone_regions), settings_.promotion_rate}),
        voters_(runtime, *raft_, directory_, settings_.lost_disks_tolerated),
        registrations_(runtime, *raft_, fleet_, calls_, voters_, prober_, zones_of(settings_)),
        operator_calls_(factories.make_operator_calls(registrations_)),
        metrics_(*raft_, fleet_, leases_, groups_, registrations_),
        dispatcher_(runtime) {
    calls_.on_votes([this](consensus::Member stopping, TimePoint deadline,
                           Reason& reason) { return voters_.release(std::move(stopping), deadline, reason); },
                    [this](const consensus::Member& newcomer) { voters_.record_offer(newcomer); });
    leases_.on_suspicion([this](const NodeName& proxy, const registry::PrimarySuspicion& said) {
      groups_.record_suspicion(proxy, said);
    });
  }

  Awaitable<bool> start(Reason& reason) override {
    const bool recovered = co_await raft_->start(reason);
    if (!recovered) co_return false;
    route_conversations();
    leases_.start();
    groups_.start();
    voters_.start();
    calls_.announce(own_member(), !settings_.first_start);
    if (!dispatcher_.start(settings_.peer_endpoint, reason)) co_return false;
    operator_server_ = runtime_.http().serve(settings_.operator_endpoint, *operator_calls_, reason);
    if (!operator_server_ || !settings_.metrics_endpoint) co_return operator_server_ != nullptr;
    metrics_server_ = runtime_.http().serve(*settings_.metrics_endpoint, metrics_, reason);
    co_return metrics_server_ != nullptr;
  }

  [[nodiscard]] std::optional<std::uint64_t> leading_term() const {
    const consensus::ConsensusStatus status = raft_->status();
    if (status.state != consensus::ServerState::kLeader) return std::nullopt;
    return status.term;
  }

  [[nodiscard]] const registry::FleetStateMachine& fleet() const { return fleet_; }

  Awaitable<void> drain() override {
    // The node goes on serving until another one has its vote.
    co_await release_vote();
    if (operator_server_) operator_server_->stop_accepting();
    dispatcher_.stop();
    groups_.stop();
    voters_.stop();
    calls_.stop();
    co_await groups_.conclude();
    co_await raft_->stop();
    leases_.stop();
  }

 private:
  using Connection = std::shared_ptr<runtime::FrameConnection>;

  void route_conversations() {
    dispatcher_.route(wire::Conversation::kConsensus, [this](Connection connection, wire::Hello hello) {
      return raft_->serve(std::move(connection), std::move(hello.node));
    });
    for (const auto serving : {wire::Conversation::kServing, wire::Conversation::kServingCompressed}) {
      dispatcher_.route(serving, [this](Connection connection, wire::Hello hello) {
        return leases_.serve(std::move(connection), std::move(hello));
      });
    }
    dispatcher_.route(wire::Conversation::kLeader,
                      [this](Connection connection, const wire::Hello& /*hello*/) {
                        return calls_.serve(std::move(connection));
                      });
  }

  Awaitable<void> release_vote() {
    if (!operator_server_) co_return;
    Reason reason;
    const bool released =
        co_await calls_.release_vote(own_member(), runtime_.now() + kVoteReleaseTimeout, reason);
    runtime_.logger().log(released ? runtime::LogLevel::kInfo : runtime::LogLevel::kWarning,
                          released ? "vote_released" : "vote_not_released", reason, {});
  }

  [[nodiscard]] consensus::Member own_member() const {
    consensus::Member member;
    member.node = consensus_name(settings_.peer_endpoint);
    member.identity = raft_->identity();
    member.endpoint = settings_.peer_endpoint;
    member.zone = settings_.zone;
    return member;
  }

  runtime::Runtime& runtime_;
  RegisteredControlSettings settings_;
  registry::FleetStateMachine fleet_;
  std::unique_ptr<consensus::RaftNode> raft_;
  ControlNodeDirectory directory_;
  LeaderCalls calls_;
  LeaseKeeper leases_;
  std::unique_ptr<BackendDialer> dialer_;
  GroupProber prober_;
  std::unique_ptr<registry::PromotionCaller> promotions_;
  GroupKeeper groups_;
  VoterKeeper voters_;
  RegistrationService registrations_;
  std::unique_ptr<runtime::HttpHandler> operator_calls_;
  ControlMetrics metrics_;
  wire::ConnectionDispatcher dispatcher_;
  std::unique_ptr<runtime::HttpServer> operator_server_;
  std::unique_ptr<runtime::HttpServer> metrics_server_;
};

}  // namespace

std::optional<std::uint64_t> leading_term(runtime::Role& control_node) {
  const auto* node = dynamic_cast<RegisteredControlNode*>(&control_node);
  return node == nullptr ? std::nullopt : node->leading_term();
}

const registry::FleetStateMachine& fleet_of(runtime::Role& control_node) {
  return dynamic_cast<RegisteredControlNode&>(control_node).fleet();
}

std::unique_ptr<runtime::Role> make_registered_control_node(runtime::Runtime& runtime,
                                                            RegisteredControlSettings settings,
                                                            const ControlNodeFactories& factories) {
  return std::make_unique<RegisteredControlNode>(runtime, std::move(settings), factories);
}

}  // namespace cairnhollow::registered::control
