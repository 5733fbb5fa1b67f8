// What a proxy knows of one database group, each part with the state that it owns. Here is only what concerns
// several of them. Whoever needs one part takes that.
#pragma once

#include <memory>
#include <optional>

#include "registered/proxy/group/backend_standing.h"
#include "registered/proxy/group/cold_limit.h"
#include "registered/proxy/group/group_backends.h"
#include "registered/proxy/group/leadership.h"
#include "registered/proxy/group/primary_health.h"
#include "registered/proxy/group/primary_positions.h"
#include "registered/proxy/group/read_need.h"

namespace cairnhollow::registered::proxy {

/// What is named outlives it. The parts refer to each other, so that it is neither copied nor moved.
struct GroupAccess {
  /// `evacuated`: as the proxy knows them; it may change at any time. `confirmation`: control's, of the copy
  /// that this is a part of; null: cold backends are not limited.
  GroupAccess(runtime::Runtime& proxy_runtime, BackendDialer& dialer, GroupName group, const ZoneName& zone,
              std::shared_ptr<const EvacuatedZones> evacuated,
              const tenancy::KeyConfirmation* confirmation = nullptr);

  [[nodiscard]] const registry::GroupTerm& term() const { return leadership.term(); }
  /// Where an epoch ends by it, whoever waits for an answer of that primary is told at once.
  void set_term(const registry::GroupTerm& term);
  void put_backend(const registry::BackendEntry& entry);
  void remove_backend(const BackendName& name);

  /// A primary leads, and is in a region where what is bound to these may not run.
  [[nodiscard]] bool is_primary_outside(const locality::PermittedRegions& allowed) const;
  /// What a read must see under these rules; primary_only when a replica can't be shown to have it.
  [[nodiscard]] ReadNeed need_of(const registry::RouteRule& route, const SessionCommit& committed,
                                 const locality::PermittedRegions* allowed = nullptr);
  /// What `backend` must show to hold before it runs a read with this need, or begins a transaction; empty:
  /// nothing. A primary that tells its start may have started again, and then lacks what it showed before.
  [[nodiscard]] std::optional<Position> required_of(const BackendUse& backend, const ReadNeed& need) const;
  /// A replica answered a read that needed a position, and showed where its log is; or it lacked the
  /// position.
  void record_replica(BackendUse& backend, const ReadNeed& need, std::optional<Position> shown) const;

  runtime::Runtime& runtime;
  const GroupName name;
  registry::GroupRule rule;
  /// Notified when the term, the backends, the members' lease or the evacuated zones have changed, and when
  /// the primary was asked for its position.
  runtime::Signal changed;
  Leadership leadership;
  PrimaryHealth primary_health;
  PrimaryPositions positions;
  GroupBackends backends;
  ColdLimit cold;
  BackendStanding standing;

 private:
  /// Whether a read could run at the open primary, as far as its zone, its tokens and these regions allow.
  [[nodiscard]] bool may_read_at_primary(const locality::PermittedRegions* allowed) const;
};

}  // namespace cairnhollow::registered::proxy
