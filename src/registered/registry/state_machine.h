// Replicated state machine of a registered fleet.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "consensus/consensus.h"
#include "registered/registry/commands.h"
#include "registered/registry/delta.h"
#include "registered/registry/departed_members.h"
#include "registered/registry/revised_table.h"
#include "registered/registry/unsettled_promotions.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::registry {

/// Deterministic: the same commands in the same order produce the same state on every node. A command without
/// effect does not change the revision.
class FleetStateMachine : public consensus::ReplicatedStateMachine {
 public:
  explicit FleetStateMachine(runtime::Runtime& runtime) : changed_(runtime) {}

  void apply(std::uint64_t index, const std::string& command) override;
  [[nodiscard]] std::string take_snapshot() const override;
  bool restore_snapshot(const std::string& bytes, Reason& reason) override;

  [[nodiscard]] std::uint64_t revision() const { return state_.revision; }
  /// Revision at which a group last closed or opened since this process started.
  [[nodiscard]] std::uint64_t terms_revision() const { return terms_revision_; }
  /// Revision at which a proxy was last admitted, changed or removed since this process started. Restoring a
  /// snapshot sets it to the snapshot's revision.
  [[nodiscard]] std::uint64_t proxies_revision() const { return proxies_revision_; }
  [[nodiscard]] std::uint64_t document_version() const { return state_.document_version; }
  /// The document as submitted; empty before the first one.
  [[nodiscard]] const std::string& document_text() const { return state_.document_text; }
  [[nodiscard]] std::vector<GroupRule> groups() const { return state_.groups.all(); }
  [[nodiscard]] std::vector<RouteRule> routes() const { return state_.routes.all(); }
  [[nodiscard]] std::vector<TenantRule> tenants() const { return state_.tenants.all(); }
  [[nodiscard]] bool requires_keys() const { return state_.requires_keys; }
  /// Returns true if limits that proxies enforce together are configured: those of tenants or of cold
  /// backends.
  [[nodiscard]] bool has_shared_limits() const { return state_.requires_keys || limits_cold_backends_; }
  [[nodiscard]] const GroupRule* find_group(const GroupName& group) const {
    return state_.groups.find(group);
  }
  [[nodiscard]] const BackendEntry* find_backend(const BackendName& name) const {
    return state_.backends.find(name);
  }
  /// Returns the backend registered at the address, or null if there is none.
  [[nodiscard]] const BackendEntry* find_backend_at(const Endpoint& endpoint) const;
  /// Returns true if the incarnation with that start time was deregistered, or precedes one that was. A late
  /// heartbeat does not register it again.
  [[nodiscard]] bool is_deregistered(const BackendName& name, std::uint64_t start_time_ms = 0) const {
    return state_.backends.was_removed(name) && start_time_ms <= ended_start_time_ms(name);
  }
  /// Start time of the last incarnation of a removed backend; 0 if it reported none or is unknown.
  [[nodiscard]] std::uint64_t ended_start_time_ms(const BackendName& name) const {
    const auto found = state_.ended_start_times.find(name);
    return found == state_.ended_start_times.end() ? 0 : found->second;
  }
  /// The fleet revision at which the backend's entry last changed; a holder of this or a later revision has
  /// the current entry.
  [[nodiscard]] std::uint64_t backend_revision(const BackendName& name) const {
    return state_.backends.revision_of(name);
  }
  [[nodiscard]] std::vector<BackendEntry> backends_of(const GroupName& group) const;
  /// Names of the group's backends; empty if none registered.
  [[nodiscard]] const std::set<BackendName>& members_of(const GroupName& group) const;
  /// The registered incarnations of the group's backends.
  [[nodiscard]] std::set<BackendIncarnation> incarnations_of(const GroupName& group) const;
  [[nodiscard]] std::vector<BackendEntry> backends() const { return state_.backends.all(); }
  [[nodiscard]] const GroupTerm* find_term(const GroupName& group) const { return state_.terms.find(group); }
  /// Former members whose logs no remaining member is known to hold.
  [[nodiscard]] const DepartedMembers& departed() const { return state_.departed; }
  /// Promotion requests that may still take effect.
  [[nodiscard]] const UnsettledPromotions& unsettled_promotions() const {
    return state_.unsettled_promotions;
  }
  [[nodiscard]] std::vector<Evacuation> evacuations() const { return state_.evacuations.all(); }
  [[nodiscard]] bool is_evacuated(const ZoneName& zone) const {
    return state_.evacuations.find(zone) != nullptr;
  }
  /// Returns true if the zone was evacuated earlier and is not now. Old records are discarded eventually.
  [[nodiscard]] bool was_evacuated(const ZoneName& zone) const {
    return state_.evacuations.was_removed(zone);
  }
  [[nodiscard]] std::vector<AdmittedProxy> proxies() const { return state_.proxies.all(); }
  [[nodiscard]] std::size_t proxy_count() const { return state_.proxies.size(); }
  [[nodiscard]] const AdmittedProxy* find_proxy(const NodeName& node) const {
    return state_.proxies.find(node);
  }

  /// Revision at which a proxy incarnation was last replaced or removed; 0: none was.
  [[nodiscard]] std::uint64_t proxy_lost_at() const { return state_.proxy_lost_at; }
  /// Where the group's term began; empty if a build before opened it.
  [[nodiscard]] std::optional<TermStart> term_start(const GroupName& group) const;
  /// Returns true if every proxy that may have acknowledged commits since the group's term began is still
  /// admitted.
  [[nodiscard]] bool knows_all_acknowledgers(const GroupTerm& term) const {
    const auto start = term_start(term.group);
    return state_.proxy_lost_at <= (start ? start->revision : term.opened_at);
  }

  /// The changes since `revision`; the full state if `revision` is 0 or too old for the removed rows to be
  /// known.
  [[nodiscard]] FleetDelta delta_since(std::uint64_t revision) const;
  /// Notified after each command that changed the state, and after a snapshot was restored.
  runtime::Signal& changed() { return changed_; }

 private:
  struct State {
    std::uint64_t revision = 0;
    /// Removed rows are complete from this revision on.
    std::uint64_t complete_from = 0;
    std::uint64_t document_version = 0;
    std::string document_text;
    std::uint64_t transaction_idle_ms = 0;
    /// Removed routes are recorded by name, which is how proxies of every build know them.
    RevisedTable<RouteKey, RouteRule> routes;
    RevisedTable<GroupName, GroupRule> groups;
    RevisedTable<BackendName, BackendEntry> backends;
    RevisedTable<GroupName, GroupTerm> terms;
    RevisedTable<NodeName, AdmittedProxy> proxies;
    bool requires_keys = false;
    RevisedTable<TenantName, TenantRule> tenants;
    std::uint64_t proxy_lost_at = 0;  ///< revision at which a proxy incarnation was last replaced or removed
    /// Start time of the last incarnation of each removed backend; registrations of earlier incarnations are
    /// stale.
    std::map<BackendName, std::uint64_t> ended_start_times;
    RevisedTable<ZoneName, Evacuation> evacuations;
    DepartedMembers departed;
    std::map<GroupName, TermStart> term_starts;
    /// False in snapshots of builds that did not record departed members.
    bool records_departed = true;
    UnsettledPromotions unsettled_promotions;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(revision, complete_from, document_version, document_text, transaction_idle_ms, routes, groups,
              backends, terms, proxies, proxy_lost_at);
      wire::since(archive, wire::kTenantsFormat, requires_keys, false);
      wire::since(archive, wire::kTenantsFormat, tenants, RevisedTable<TenantName, TenantRule>());
      wire::since(archive, wire::kPlacementFormat, ended_start_times, std::map<BackendName, std::uint64_t>());
      wire::since(archive, wire::kPlacementFormat, evacuations, RevisedTable<ZoneName, Evacuation>());
      wire::since(archive, wire::kEvidenceFormat, departed, DepartedMembers());
      wire::since(archive, wire::kEvidenceFormat, term_starts, std::map<GroupName, TermStart>());
      wire::since(archive, wire::kEvidenceFormat, records_departed, false);
      wire::since(archive, wire::kPromotionsFormat, unsettled_promotions, UnsettledPromotions());
    }
  };

  bool execute(ReplaceDocument& command);
  bool execute(RegisterBackend& command);
  bool execute(DeregisterBackend& command);
  bool execute(AdmitProxy& command);
  bool execute(ForgetProxy& command);
  bool execute(CloseGroup& command);
  bool execute(OpenGroup& command);
  bool execute(BeginEvacuation& command);
  bool execute(EndEvacuation& command);
  bool execute(SettleDeparted& command);
  bool execute(BeginPromotion& command);
  bool execute(SettlePromotions& command);
  bool execute(WithdrawPromotions& command);
  bool execute(WithdrawEarlierPromotions& command);
  bool execute(CommandBatch& command);
  void put_term(const GroupTerm& term);
  void put_backend(BackendEntry entry);
  /// `has_ended`: it is known not to run any more.
  bool remove_backend(const BackendName& name, bool has_ended);
  void record_departure(const BackendEntry& held, bool has_ended);
  /// Settles the promotions of deregistered backends at the address that the entry takes: they have ended.
  void settle_promotions_at(const BackendEntry& entry);
  /// Assumes a departed member in each group after the snapshot of a build that recorded none.
  void assume_departed();
  /// Removes the backend previously registered at the entry's address. Returns false if the entry is stale
  /// because another backend started there after it.
  bool claim_address(const BackendEntry& entry);
  /// Discards start times of removed backends whose removal is no longer recorded.
  void trim_ended_start_times();
  void index_backend(const BackendEntry& entry);
  /// Replaces the table's rows, keyed by name. Unchanged rows keep their revision.
  template <class Key, class Row>
  void replace_rows(RevisedTable<Key, Row>& table, const std::vector<Row>& rows);
  void replace_routes(const std::vector<RouteRule>& routes);
  void update_cold_limits();
  void trim_removed_rows();
  [[nodiscard]] std::uint64_t next_revision() const { return state_.revision + 1; }

  State state_;
  // Indexes derived from `state_.backends`, so that neither commands nor group lookups scan all backends.
  std::map<GroupName, std::set<BackendName>> members_;
  std::map<Endpoint, BackendName> backend_at_endpoint_;
  bool limits_cold_backends_ = false;  ///< true if any group limits cold backends
  std::uint64_t terms_revision_ = 0;
  std::uint64_t proxies_revision_ = 0;
  runtime::Signal changed_;
};

}  // namespace cairnhollow::registered::registry
