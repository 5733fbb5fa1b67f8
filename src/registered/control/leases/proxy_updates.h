// What the proxies that follow this control node are sent: answers to their questions, and what changed since
// the revision that each holds.
//
// What goes over the wire grows with changes and proxies, never with what there is: changes that come
// together go as one delta, which is encoded once for all who lack the same. Only a proxy that starts gets
// the whole.
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

/// A proxy's connection, and what it has been told and asks for.
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

/// The objects that it is given outlive it; it lives until the process ends.
class ProxyUpdates {
 public:
  /// What answers with a lease tell of the revisions in use (registry/stable_revision.h).
  using StableRevision = std::function<std::uint64_t()>;

  ProxyUpdates(runtime::Runtime& runtime, registry::FleetStateMachine& fleet, ControlNodeDirectory& directory,
               Duration serving_lease, StableRevision stable_revision)
      : runtime_(runtime),
        fleet_(fleet),
        directory_(directory),
        serving_lease_(serving_lease),
        stable_revision_(std::move(stable_revision)),
        room_(runtime) {}

  void start();
  /// Closes all connections.
  void stop();
  /// The number by which remove() knows the follower.
  std::uint64_t add(const std::shared_ptr<Follower>& follower);
  void remove(std::uint64_t id) { followers_.erase(id); }
  [[nodiscard]] std::size_t size() const { return followers_.size(); }
  /// Sends what the follower lacks, and goes on until it lacks nothing.
  void flush(const std::shared_ptr<Follower>& follower);

 private:
  struct EncodedDelta {
    std::string plain;
    std::string compressed;
  };

  Awaitable<void> push_changes();
  /// Until what changed is to be told.
  Awaitable<void> gather_changes();
  Awaitable<void> send(std::shared_ptr<Follower> follower);
  [[nodiscard]] bool has_something_for(const Follower& follower) const;
  registry::ProxyUpdate make_update(Follower& follower, bool with_delta);
  /// Whether what the follower lacks is small, or may be on its way beside what is on its way to others.
  [[nodiscard]] bool has_room_for(const Follower& follower);
  const std::string& delta_for(const Follower& follower);
  const std::vector<Endpoint>& endpoints();

  runtime::Runtime& runtime_;
  registry::FleetStateMachine& fleet_;
  ControlNodeDirectory& directory_;
  Duration serving_lease_;
  StableRevision stable_revision_;
  runtime::Signal room_;                ///< notified when a large delta has been sent
  std::size_t bytes_on_their_way_ = 0;  ///< of deltas
  std::map<std::uint64_t, std::shared_ptr<Follower>> followers_;
  std::uint64_t next_follower_ = 1;
  std::map<std::uint64_t, EncodedDelta> deltas_;  ///< by the revision that they begin from
  std::uint64_t deltas_to_ = 0;                   ///< the revision that they lead to
  std::vector<Endpoint> endpoints_;
  TimePoint endpoints_at_{};
  std::uint64_t pushed_revision_ = 0;
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::control
