// The leader's side of the proxies: serving leases, what changed, and who has answered the close of a group.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "consensus/consensus.h"
#include "registered/control/control_node_directory.h"
#include "registered/control/failover/fence_acknowledgements.h"
#include "registered/control/leader_calls.h"
#include "registered/registry/messages.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"
#include "wire/hello.h"

namespace cairnhollow::registered::control {

/// A proxy's question is kept so long while no leader is known, and answered at once when one is: within the
/// time for which proxies wait for a first answer (0.9 s), and longer than an election takes (0.07 to 0.3 s).
inline constexpr Duration kLeaderPatience = std::chrono::milliseconds(600);
/// Proxies' leases are checked for their end this often. Chosen, not measured.
inline constexpr Duration kLapsedTick = std::chrono::milliseconds(400);

/// What it refers to outlives it; it lives until the process ends.
class LeaseKeeper {
 public:
  using OnSuspicion = std::function<void(const NodeName& proxy, const registry::PrimarySuspicion&)>;

  LeaseKeeper(runtime::Runtime& runtime, consensus::Consensus& consensus, registry::FleetStateMachine& fleet,
              ControlNodeDirectory& directory, LeaderCalls& calls, Duration serving_lease);

  void start();
  void stop();
  void on_suspicion(OnSuspicion callback) { on_suspicion_ = std::move(callback); }
  /// Serves one proxy's connection until it ends.
  Awaitable<void> serve(std::shared_ptr<runtime::FrameConnection> connection, wire::Hello hello);

  /// Invariant behind it: a lease granted by an earlier leader runs out within one serving lease of this
  /// node's election, and one granted here when `lease_until` says.
  [[nodiscard]] FenceProgress fence_progress(const GroupName& group, std::uint64_t epoch);
  /// Notified when the last proxy has answered the close of a group. Leases that run out meanwhile are not
  /// told.
  runtime::Signal& answered() { return answered_; }
  [[nodiscard]] std::size_t followers() const { return followers_.size(); }

 private:
  struct Follower {
    std::shared_ptr<runtime::FrameConnection> connection;
    NodeName node;
    ZoneName zone;
    bool takes_compressed = false;
    std::uint64_t incarnation = 0;
    Endpoint peer_endpoint;
    bool draining = false;
    std::uint64_t revision_sent = 0;
    bool admitted = false;  ///< has had a lease on this connection
    bool sending = false;
    std::uint64_t answer_nonce = 0;  ///< of the report to be answered next; 0: none
    bool grant = false;              ///< with a lease
    std::optional<Reason> refusal;
    std::vector<Endpoint> endpoints_sent;
  };
  struct Life {
    std::uint64_t incarnation = 0;
    TimePoint lease_until{};
    std::uint64_t revision = 0;  ///< of the fleet, that it said it holds
  };

  Awaitable<void> take_report(std::shared_ptr<Follower> follower, registry::ProxyReport report);
  Awaitable<bool> admit(std::shared_ptr<Follower> follower, Reason& reason);
  [[nodiscard]] bool knows_leader() const;
  /// Until this node leads, or knows who does, at most for kLeaderPatience.
  Awaitable<void> wait_for_leader();
  Awaitable<void> look_for_leader();
  void record_closed(const Follower& follower, const std::vector<registry::ClosedGroup>& closed);
  /// Lets the answers be judged by the proxies that are admitted now.
  void refresh_answering();
  Awaitable<void> push_changes();
  Awaitable<void> gather_changes();
  /// Proxies whose leases ran out leave the division of groups, and are forgotten when they stay away.
  Awaitable<void> watch_lapsed();
  void take_out_lapsed();
  Awaitable<void> take_out(registry::SingleCommand command, NodeName node, std::string event);
  /// Sends what the follower lacks, and goes on until it lacks nothing.
  void flush(const std::shared_ptr<Follower>& follower);
  Awaitable<void> send_updates(std::shared_ptr<Follower> follower);
  [[nodiscard]] bool has_something_for(const Follower& follower) const;
  registry::ProxyUpdate make_update(Follower& follower, bool with_delta);
  /// Whether what the follower lacks is small, or may be on its way beside what is on its way to others.
  [[nodiscard]] bool has_room_for(const Follower& follower);
  /// What every proxy that may count operations has said that it holds. See registry/budget_authority.h.
  std::uint64_t settled_revision();
  /// Encoded for the follower.
  const std::string& delta_for(const Follower& follower);
  const std::vector<Endpoint>& endpoints();
  [[nodiscard]] Duration report_interval() const;
  [[nodiscard]] bool leads() const;
  void watch_leadership();
  [[nodiscard]] TimePoint lease_bound(const NodeName& node, std::uint64_t incarnation) const;

  runtime::Runtime& runtime_;
  consensus::Consensus& consensus_;
  registry::FleetStateMachine& fleet_;
  ControlNodeDirectory& directory_;
  LeaderCalls& calls_;
  Duration serving_lease_;
  OnSuspicion on_suspicion_;
  runtime::Signal answered_;
  runtime::Signal leader_known_;
  bool looking_for_leader_ = false;
  runtime::Signal room_;                ///< notified when a large delta has been sent
  std::size_t bytes_on_their_way_ = 0;  ///< of deltas
  std::map<std::uint64_t, std::shared_ptr<Follower>> followers_;
  std::map<NodeName, Life> lives_;
  FenceAcknowledgements fence_acknowledgements_;
  std::optional<std::uint64_t> answering_revision_;  ///< of the proxies that `fence_acknowledgements_` knows
  std::uint64_t next_follower_ = 1;
  std::uint64_t deltas_to_ = 0;  ///< the revision that the encoded deltas lead to
  struct EncodedDelta {
    std::string plain;
    std::string compressed;
  };
  std::map<std::uint64_t, EncodedDelta> deltas_;  ///< by the revision that they begin from
  std::vector<Endpoint> endpoints_;
  TimePoint endpoints_at_{};
  std::uint64_t pushed_revision_ = 0;
  std::uint64_t settled_revision_ = 0;
  TimePoint settled_at_{};  ///< when it was worked out
  std::uint64_t led_term_ = 0;
  TimePoint leads_since_{};
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::control
