// State that a proxy keeps for one database group. Each part owns its own state and is used directly; only
// operations that involve several parts are defined here.
#pragma once

#include <memory>
#include <optional>

#include "registered/placement/run_time_estimate.h"
#include "registered/proxy/group/backend_standing.h"
#include "registered/proxy/group/cold_limit.h"
#include "registered/proxy/group/group_backends.h"
#include "registered/proxy/group/leadership.h"
#include "registered/proxy/group/primary_health.h"
#include "registered/proxy/group/primary_positions.h"
#include "registered/proxy/group/read_need.h"

namespace cairnhollow::registered::proxy {

/// References are not owned and must outlive this object. Neither copyable nor movable, since its parts refer
/// to each other.
struct GroupAccess {
  /// `evacuated`: the zones being evacuated; may change at any time. `confirmation`: control's confirmation
  /// of the fleet snapshot that this object belongs to; null: cold backends are not limited.
  GroupAccess(runtime::Runtime& proxy_runtime, BackendDialer& dialer, GroupName group, const ZoneName& zone,
              std::shared_ptr<const EvacuatedZones> evacuated,
              const tenancy::KeyConfirmation* confirmation = nullptr);

  [[nodiscard]] const registry::GroupTerm& term() const { return leadership.term(); }
  [[nodiscard]] registry::GroupEpoch epoch() const { return {name, term().epoch}; }
  /// If the term ends an epoch, callers that wait for answers of its primary fail at once.
  void set_term(const registry::GroupTerm& term);
  void put_backend(const registry::BackendEntry& entry);
  void remove_backend(const BackendName& name);

  /// Whether the group has an open primary that is outside the `allowed` regions.
  [[nodiscard]] bool is_primary_outside(const locality::PermittedRegions& allowed) const;
  /// Returns what a read under this route must see; primary_only if no replica can be shown to have it.
  [[nodiscard]] ReadNeed need_of(const registry::RouteRule& route, const SessionCommit& committed,
                                 const locality::PermittedRegions* allowed = nullptr);
  /// Returns the position that `backend` must show before it runs a read with this need or begins a
  /// transaction, or std::nullopt if none is required. A primary that reports its start time may have
  /// restarted, and then lacks what it showed before.
  [[nodiscard]] std::optional<Position> required_of(const BackendState& backend, const ReadNeed& need) const;
  /// Records a replica's answer to a read that required a position: the log position that it showed, or
  /// std::nullopt if it lacked the required one.
  void record_replica_answer(BackendState& backend, const ReadNeed& need,
                             std::optional<Position> shown) const;

  runtime::Runtime& runtime;
  const GroupName name;
  registry::GroupRule rule;
  /// Notified when the term, the backends, the member lease or the evacuated zones change, and when a
  /// position query to the primary ends.
  runtime::Signal changed;
  Leadership leadership;
  PrimaryHealth primary_health;
  PrimaryPositions positions;
  GroupBackends backends;
  ColdLimit cold;
  placement::RunTimeEstimate run_time;  ///< of the statements that this proxy sent to the group's backends
  BackendEvaluator evaluator;

 private:
  /// Whether a read could run at the open primary, as far as its zone, its tokens and the `allowed` regions
  /// are concerned.
  [[nodiscard]] bool may_read_at_primary(const locality::PermittedRegions* allowed) const;
};

}  // namespace cairnhollow::registered::proxy
