// Leader side of the proxy protocol: admits proxies, grants serving leases, pushes changes, and collects
// fence acknowledgements when a group is closed. The expiry bounds of all promises are in lease_bounds.h.
//
// A lease is granted for a report after the proxy was admitted in the log and a quorum round that started
// after the report was received has completed, all in one leadership term of this node. No other leader can
// then have closed a group without this node's knowledge, and every later leader waits for the proxy.
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

/// Interval of the check for expired proxy leases.
inline constexpr Duration kLapseCheckInterval = std::chrono::milliseconds(400);

/// The referenced objects are not owned and must outlive this object, which must live until the process ends
/// because its coroutines refer to it.
class LeaseKeeper {
 public:
  using OnSuspicion = std::function<void(const NodeName& proxy, const registry::PrimarySuspicion&)>;

  LeaseKeeper(runtime::Runtime& runtime, consensus::Consensus& consensus, registry::FleetStateMachine& fleet,
              ControlNodeDirectory& directory, LeaderCalls& calls, Duration serving_lease);

  void start();
  void stop();
  void on_suspicion(OnSuspicion callback) { on_suspicion_ = std::move(callback); }
  /// Serves one proxy's connection until it closes.
  Awaitable<void> serve(std::shared_ptr<runtime::FrameConnection> connection, wire::Hello hello);

  /// The proxies' acknowledgements of the group's close, and the proxies that may still hold a lease without
  /// having acknowledged it.
  [[nodiscard]] FenceProgress fence_progress(const GroupName& group, std::uint64_t epoch);
  /// A commit of the group at this position or after it was acknowledged, according to what proxies have
  /// reported to this node; index 0 if none is known to be.
  [[nodiscard]] Position certainly_acknowledged(const GroupName& group) const {
    return acknowledgements_.certainly_acknowledged(group);
  }
  /// Notified when the last proxy has acknowledged the close of a group. Not notified when a lease expires
  /// instead.
  runtime::Signal& fence_answered() { return fence_answered_; }
  [[nodiscard]] std::size_t followers() const { return updates_.size(); }

 private:
  Awaitable<void> handle_report(std::shared_ptr<Follower> follower, registry::ProxyReport report);
  /// Returns true if the proxy may be granted a lease. Runs the quorum round that backs it.
  Awaitable<bool> grant(std::shared_ptr<Follower> follower, Reason& reason);
  Awaitable<bool> admit(std::shared_ptr<Follower> follower, Reason& reason);
  void record_acknowledgements(const Follower& follower, const std::vector<registry::ClosedGroup>& closed);
  /// Updates `acknowledgements_` if the set of admitted proxies has changed.
  void refresh_fence_proxies();
  /// Periodically excludes proxies with expired leases from the division of groups, and removes those that do
  /// not return.
  Awaitable<void> run_lapse_check();
  void remove_lapsed_proxies();
  Awaitable<void> submit_removal(registry::SingleCommand command, NodeName node, std::string event);
  std::uint64_t stable_revision();
  /// Periodically announces the stable revision while it lags behind the fleet's, so that new quota owners
  /// begin without waiting for their next report.
  Awaitable<void> run_stable_revision_check();
  [[nodiscard]] bool leads() const { return consensus_.leads(); }
  void detect_new_term();

  runtime::Runtime& runtime_;
  consensus::Consensus& consensus_;
  registry::FleetStateMachine& fleet_;
  LeaderCalls& calls_;
  Duration serving_lease_;
  OnSuspicion on_suspicion_;
  runtime::Signal fence_answered_;
  LeaderWait leader_wait_;
  ProxyUpdates updates_;
  ServingLeases leases_;
  FenceAcknowledgements acknowledgements_;
  /// fleet revision of the proxies in `acknowledgements_`
  std::optional<std::uint64_t> fence_proxies_revision_;
  std::uint64_t stable_revision_ = 0;
  TimePoint stable_revision_at_{};  ///< time of the last computation
  std::uint64_t led_term_ = 0;
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::control
