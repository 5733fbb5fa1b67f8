// What operators and backends ask of any control node of a registered fleet.
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

/// Registrations that were acknowledged here and changed more, or less, than others do.
struct RegistrationCounts {
  std::uint64_t outdated = 0;  ///< of an incarnation before the one that holds: without effect
  std::uint64_t replaced = 0;  ///< of an incarnation that takes the place of another of its name
};

/// What it refers to outlives it.
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
        begun_(runtime.now()) {}

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
  /// The first voters alone might not keep what is acknowledged; for a while after the start the others are
  /// waited for.
  [[nodiscard]] bool may_acknowledge(const char* step, Reason& reason) const;

  /// Whether the document names the entry's group, as far as this node knows it. Before the first document
  /// every group may be one. A backend that is held stays one of its group until it ends, so that it can
  /// take its leave.
  [[nodiscard]] bool belongs_here(const registry::BackendEntry& entry) const;
  /// The same, by the newest document where this node's does not say so: it may be behind, and what is valid
  /// must not get lost. kNotFound: it is named nowhere. Other codes: not to be known now.
  Awaitable<bool> is_named(registry::BackendEntry entry, Reason& reason);
  /// Whether the entry is of an incarnation that is over, by what the log holds of its name and its address.
  [[nodiscard]] bool is_of_former_incarnation(const registry::BackendEntry& entry) const;
  /// Counts one that is, and logs the first of each incarnation.
  void mark_outdated(const registry::BackendEntry& entry);
  /// Whether another backend, registered at the same address, answers there: then the registration is a late
  /// one of an incarnation that is gone. Taken in, it would displace the other for good, since who was
  /// displaced does not come back.
  Awaitable<bool> is_outdated(registry::BackendEntry entry);
  /// One proxy for each backend, of its zone where there are any.
  [[nodiscard]] registry::Registration place(const BackendName& name, const ZoneName& zone);
  void refresh_takers();

  runtime::Runtime& runtime_;
  consensus::Consensus& consensus_;
  registry::FleetStateMachine& fleet_;
  LeaderCalls& calls_;
  const VoterKeeper& voters_;
  GroupProber& prober_;
  EvacuationOrders evacuations_;
  TimePoint begun_;
  RegistrationCounts counts_;
  std::set<registry::BackendIncarnation> told_outdated_;  ///< logged already
  std::map<ZoneName, std::vector<Endpoint>> takers_;      ///< proxies that stay, by zone
  registry::RegistrationFaultCounts refused_;
  std::uint64_t takers_revision_ = 0;  ///< of the fleet that they were taken from
  TimePoint takers_at_{};
};

}  // namespace cairnhollow::registered::control
