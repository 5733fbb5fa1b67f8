// Global knowledge while a run is under way: a process in a zone of its own, which no cut reaches, asks every
// backend and every proxy for its state, again and again.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "declared/backend/backend_connection.h"
#include "runtime/role.h"
#include "runtime/runtime.h"
#include "simulation/deployment.h"
#include "simulation/scheduler.h"

namespace cairnhollow::simulation {

/// A backend's own answer. Times are world time.
struct BackendObservation {
  TimePoint asked{};
  TimePoint answered{};
  declared::backend::BackendStatus status;
};

/// A proxy's own answer: what it had in force of a domain, and whether it served it, at some instant between
/// the two times.
struct ProxyObservation {
  std::string proxy;
  TimePoint asked{};
  TimePoint answered{};
  std::uint64_t revision = 0;
  bool serves = false;
  DomainName domain = {};  ///< empty: the only one
};

/// What a control node says of the consensus group.
struct ControlObservation {
  std::string leader;  ///< empty when it knows none
  std::uint64_t consensus_term = 0;
  std::uint64_t revision = 0;
};

/// When the observer first saw a backend as the primary of a term.
struct PrimaryChange {
  GroupName group;
  std::uint64_t term = 0;
  BackendName primary;
  TimePoint seen{};
};

class ObserverRole final : public runtime::Role {
 public:
  /// `deployment` and `scheduler` outlive the role.
  ObserverRole(runtime::Runtime& runtime, const Deployment& deployment, const Scheduler& scheduler);

  Awaitable<bool> start(Reason& reason) override;
  Awaitable<void> drain() override;

  /// The latest answer of each backend.
  [[nodiscard]] const std::map<BackendName, BackendObservation>& backends() const { return backends_; }
  [[nodiscard]] const std::vector<PrimaryChange>& primary_changes() const { return primary_changes_; }
  [[nodiscard]] const std::vector<ProxyObservation>& proxies() const { return proxies_; }
  /// The latest answer of each control node.
  [[nodiscard]] const std::map<std::string, ControlObservation>& control_nodes() const {
    return control_nodes_;
  }
  /// The primary of the highest term seen; empty before there is one.
  [[nodiscard]] BackendName primary_of(const GroupName& group) const;
  [[nodiscard]] std::uint64_t term_of(const GroupName& group) const;

 private:
  Awaitable<void> observe_backend(BackendName backend, Endpoint endpoint);
  Awaitable<void> observe_proxy(std::string proxy, Endpoint endpoint);
  Awaitable<void> observe_control_node(std::string node, Endpoint endpoint);
  void take(BackendObservation observation);

  runtime::Runtime& runtime_;
  const Deployment& deployment_;
  const Scheduler& scheduler_;
  std::unique_ptr<declared::backend::BackendConnector> connector_;
  std::map<BackendName, BackendObservation> backends_;
  std::map<std::string, ControlObservation> control_nodes_;
  std::vector<PrimaryChange> primary_changes_;
  std::vector<ProxyObservation> proxies_;
};

}  // namespace cairnhollow::simulation
