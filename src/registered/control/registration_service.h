// Handles operator and backend requests on any control node of a registered fleet.
#pragma once

#include <set>

#include "consensus/consensus.h"
#include "registered/control/evacuation_orders.h"
#include "registered/control/failover/group_prober.h"
#include "registered/control/leader_calls.h"
#include "registered/control/voter_keeper.h"
#include "registered/registry/control_service.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::control {

/// Counts of registrations acknowledged by this node that were ignored or that replaced an incarnation.
struct RegistrationCounts {
  std::uint64_t outdated = 0;  ///< from an earlier incarnation; ignored
  std::uint64_t replaced = 0;  ///< from an incarnation that replaced another of the same name
};

/// The referenced objects are not owned and must outlive this object.
class RegistrationService : public registry::ControlService {
 public:
  RegistrationService(runtime::Runtime& runtime, consensus::Consensus& consensus,
                      registry::FleetStateMachine& fleet, LeaderCalls& calls, const VoterKeeper& voters,
                      GroupProber& prober, std::vector<ZoneName> zones = {})
      : runtime_(runtime),
        consensus_(consensus),
        fleet_(fleet),
        calls_(calls),
        voters_(voters),
        prober_(prober),
        evacuations_(runtime, consensus, fleet, calls, std::move(zones)),
        started_at_(runtime.now()) {}

  Awaitable<bool> replace_document(registry::ConfigurationDocument document, Reason& reason) override;
  Awaitable<std::optional<std::string>> read_document(Reason& reason) override;
  Awaitable<std::optional<registry::Registration>> register_backend(registry::BackendEntry entry,
                                                                    Reason& reason) override;
  Awaitable<bool> deregister_backend(BackendName name, Reason& reason) override;
  void record_refused(const registry::RefusedRegistration& refused) override;
  [[nodiscard]] const registry::RegistrationFaultCounts& refused() const { return refused_; }
  [[nodiscard]] const RegistrationCounts& counts() const { return counts_; }
  Awaitable<bool> begin_evacuation(ZoneName zone, Reason& reason) override;
  Awaitable<bool> end_evacuation(ZoneName zone, Reason& reason) override;

  [[nodiscard]] const EvacuationOrders& evacuations() const { return evacuations_; }

 private:
  Awaitable<bool> confirm(Reason& reason);
  /// Returns false while the consensus group lacks voters, because an acknowledged write might not survive.
  /// Stops waiting for the missing voters after kFormationTimeout.
  [[nodiscard]] bool may_acknowledge(const char* step, Reason& reason) const;

  /// Returns true if the local document contains the entry's group. A registered backend remains valid in its
  /// group after the group was removed, so that it can still report that it is leaving.
  [[nodiscard]] bool is_group_known(const registry::BackendEntry& entry) const;
  /// Like is_group_known(), but consults the newest document before rejecting, because local state may be
  /// stale and a valid registration must not be lost. Accepts every group before the first document. Fails
  /// with kNotFound if the group is not configured; with any other code the answer is unknown.
  Awaitable<bool> ensure_group_exists(registry::BackendEntry entry, Reason& reason);
  /// Returns true if the log contains a later incarnation of the entry's name or address, or the
  /// deregistration of this incarnation.
  [[nodiscard]] bool is_from_earlier_incarnation(const registry::BackendEntry& entry) const;
  /// Counts an outdated registration and logs the first one of each incarnation.
  void record_outdated(const registry::BackendEntry& entry);
  /// Returns true if a different backend that is registered at the same address answers there. The
  /// registration is then a late one of a terminated incarnation. Accepting it would displace the other
  /// backend permanently, because a displaced incarnation cannot register again.
  Awaitable<bool> another_backend_answers(registry::BackendEntry entry);
  /// Assigns the backend a proxy of its zone, if there is one, for further heartbeats.
  [[nodiscard]] registry::Registration assign_relay(const BackendName& name, const ZoneName& zone);
  void refresh_relay_endpoints();

  runtime::Runtime& runtime_;
  consensus::Consensus& consensus_;
  registry::FleetStateMachine& fleet_;
  LeaderCalls& calls_;
  const VoterKeeper& voters_;
  GroupProber& prober_;
  EvacuationOrders evacuations_;
  TimePoint started_at_;
  RegistrationCounts counts_;
  std::set<registry::BackendIncarnation> logged_outdated_;  ///< at most kMaxLoggedOutdated
  /// registration endpoints of non-leaving proxies, by zone
  std::map<ZoneName, std::vector<Endpoint>> relay_endpoints_;
  registry::RegistrationFaultCounts refused_;
  std::uint64_t relay_endpoints_revision_ = 0;  ///< fleet revision from which `relay_endpoints_` was built
  TimePoint relay_endpoints_at_{};
};

}  // namespace cairnhollow::registered::control
