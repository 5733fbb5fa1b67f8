// Sends updates to the proxies that follow this control node: answers to their reports, and changes since the
// revision that each of them holds.
//
// Traffic is proportional to the number of changes and proxies, not to the size of the state: changes that
// arrive together are sent as one delta, which is encoded once for all proxies at the same revision. Only a
// proxy that starts receives the full state.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "registered/control/control_node_directory.h"
#include "registered/registry/messages.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::control {

/// State of one proxy's connection: what was sent to it and what it is waiting for.
struct Follower {
  std::shared_ptr<runtime::FrameConnection> connection;
  NodeName node;
  ZoneName zone;
  bool accepts_compressed = false;
  std::uint64_t incarnation = 0;
  Endpoint peer_endpoint;
  bool draining = false;
  std::uint64_t revision_sent = 0;
  std::uint64_t stable_revision_sent = 0;
  bool admitted = false;  ///< was granted a lease on this connection
  bool sending = false;
  std::uint64_t answer_nonce = 0;  ///< nonce of the report to answer next; 0: none
  bool grant = false;              ///< whether that answer grants a lease
  std::optional<Reason> refusal;
  std::vector<Endpoint> endpoints_sent;
};

/// The referenced objects are not owned and must outlive this object, which must live until the process ends
/// because its coroutines refer to it.
class ProxyUpdates {
 public:
  /// Computes the stable revision sent with each lease (registry/stable_revision.h).
  using StableRevision = std::function<std::uint64_t()>;

  ProxyUpdates(runtime::Runtime& runtime, registry::FleetStateMachine& fleet, ControlNodeDirectory& directory,
               Duration serving_lease, StableRevision stable_revision)
      : runtime_(runtime),
        fleet_(fleet),
        directory_(directory),
        serving_lease_(serving_lease),
        stable_revision_(std::move(stable_revision)),
        capacity_freed_(runtime) {}

  void start();
  /// Closes all connections.
  void stop();
  /// Returns the id to pass to remove().
  std::uint64_t add(const std::shared_ptr<Follower>& follower);
  void remove(std::uint64_t id) { followers_.erase(id); }
  [[nodiscard]] std::size_t size() const { return followers_.size(); }
  /// Starts sending pending answers and changes to the follower until none are left. Does nothing if a send
  /// is already running.
  void flush(const std::shared_ptr<Follower>& follower);
  /// Sends the stable revision to all admitted followers that have been sent an earlier one.
  void announce_stable_revision(std::uint64_t stable_revision);

 private:
  struct EncodedDelta {
    std::string plain;
    std::string compressed;
  };

  Awaitable<void> push_changes();
  /// Delays a push so that changes that arrive close together are sent as one delta.
  Awaitable<void> delay_push();
  Awaitable<void> send(std::shared_ptr<Follower> follower);
  [[nodiscard]] bool has_pending_update(const Follower& follower) const;
  /// Whether a stable revision was announced that the proxy was not told. False without shared limits, whose
  /// absence lets builds follow that do not read it.
  [[nodiscard]] bool lacks_stable_revision(const Follower& follower) const;
  registry::ProxyUpdate make_update(Follower& follower, bool with_delta);
  /// Returns true if the follower's delta is small or fits within the limit on bytes in flight.
  [[nodiscard]] bool fits_in_flight(const Follower& follower);
  const std::string& delta_for(const Follower& follower);
  const std::vector<Endpoint>& endpoints();

  runtime::Runtime& runtime_;
  registry::FleetStateMachine& fleet_;
  ControlNodeDirectory& directory_;
  Duration serving_lease_;
  StableRevision stable_revision_;
  runtime::Signal capacity_freed_;   ///< notified when a large delta has been sent
  std::size_t bytes_in_flight_ = 0;  ///< deltas being sent now
  std::map<std::uint64_t, std::shared_ptr<Follower>> followers_;
  std::uint64_t next_follower_ = 1;
  std::map<std::uint64_t, EncodedDelta> deltas_;  ///< by base revision
  std::uint64_t deltas_revision_ = 0;             ///< target revision of all entries in `deltas_`
  std::vector<Endpoint> endpoints_;
  TimePoint endpoints_at_{};
  std::uint64_t pushed_revision_ = 0;
  std::uint64_t announced_stable_revision_ = 0;
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::control
