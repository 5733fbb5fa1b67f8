// The leader's side of the proxies: admits them, gives them serving leases, tells them what changed, and
// collects their acknowledgements of the fence when a group is closed. Who promises what to whom until when
// is in lease_bounds.h.
//
// A lease is given to a question once the proxy is admitted in the log and a quorum round that began after
// the question has ended, all in one term of this node's lead: then no other leader can have closed a group
// without this node's knowing, and every later leader waits for the proxy.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "consensus/consensus.h"
#include "registered/control/control_node_directory.h"
#include "registered/control/failover/fence_acknowledgements.h"
#include "registered/control/leader_calls.h"
#include "registered/control/leases/leader_wait.h"
#include "registered/control/leases/proxy_updates.h"
#include "registered/control/leases/serving_leases.h"
#include "registered/registry/messages.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"
#include "wire/hello.h"

namespace cairnhollow::registered::control {

/// Proxies' leases are checked for their end this often. Chosen, not measured.
inline constexpr Duration kLapsedTick = std::chrono::milliseconds(400);

/// The objects that it is given outlive it; it lives until the process ends.
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

  /// What the proxies have said of the group's close, and who may still hold a lease without having said it.
  [[nodiscard]] FenceProgress fence_progress(const GroupName& group, std::uint64_t epoch);
  /// Notified when the last proxy has answered the close of a group. Leases that run out meanwhile notify
  /// nobody.
  runtime::Signal& answered() { return answered_; }
  [[nodiscard]] std::size_t followers() const { return updates_.size(); }

 private:
  Awaitable<void> take_report(std::shared_ptr<Follower> follower, registry::ProxyReport report);
  /// Whether the proxy may serve, with the quorum round behind its lease.
  Awaitable<bool> grant(std::shared_ptr<Follower> follower, Reason& reason);
  Awaitable<bool> admit(std::shared_ptr<Follower> follower, Reason& reason);
  void record_closed(const Follower& follower, const std::vector<registry::ClosedGroup>& closed);
  /// Lets the acknowledgements be judged by the proxies that are admitted now.
  void refresh_acknowledging();
  /// Proxies whose leases ran out leave the division of groups, and are forgotten when they stay away.
  Awaitable<void> watch_lapsed();
  void take_out_lapsed();
  Awaitable<void> take_out(registry::SingleCommand command, NodeName node, std::string event);
  std::uint64_t stable_revision();
  [[nodiscard]] bool leads() const { return consensus_.leads(); }
  void watch_leadership();

  runtime::Runtime& runtime_;
  consensus::Consensus& consensus_;
  registry::FleetStateMachine& fleet_;
  LeaderCalls& calls_;
  Duration serving_lease_;
  OnSuspicion on_suspicion_;
  runtime::Signal answered_;
  LeaderWait leader_wait_;
  ProxyUpdates updates_;
  ServingLeases leases_;
  FenceAcknowledgements acknowledgements_;
  std::optional<std::uint64_t> acknowledging_revision_;  ///< of the proxies that `acknowledgements_` knows
  std::uint64_t stable_revision_ = 0;
  TimePoint stable_revision_at_{};  ///< when it was worked out
  std::uint64_t led_term_ = 0;
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::control
