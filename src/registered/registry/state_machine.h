// The replicated state of a registered fleet.
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
#include "registered/registry/revised_table.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::registry {

/// Deterministic: the same commands in the same order give the same state on every node. A command without
/// effect leaves the revision as it is.
class FleetStateMachine : public consensus::ReplicatedStateMachine {
 public:
  explicit FleetStateMachine(runtime::Runtime& runtime) : changed_(runtime) {}

  void apply(std::uint64_t index, const std::string& command) override;
  [[nodiscard]] std::string take_snapshot() const override;
  bool restore_snapshot(const std::string& bytes, Reason& reason) override;

  [[nodiscard]] std::uint64_t revision() const { return state_.revision; }
  /// At which a group last closed or opened, as far as this process has seen.
  [[nodiscard]] std::uint64_t terms_revision() const { return terms_revision_; }
  /// At which a proxy was last admitted, changed or forgotten, as far as this process has seen.
  [[nodiscard]] std::uint64_t proxies_revision() const { return proxies_revision_; }
  [[nodiscard]] std::uint64_t document_version() const { return state_.document_version; }
  /// The document as it was sent; empty before the first.
  [[nodiscard]] const std::string& document_text() const { return state_.document_text; }
  [[nodiscard]] std::vector<GroupRule> groups() const { return state_.groups.all(); }
  [[nodiscard]] std::vector<RouteRule> routes() const { return state_.routes.all(); }
  [[nodiscard]] std::vector<TenantRule> tenants() const { return state_.tenants.all(); }
  [[nodiscard]] bool requires_keys() const { return state_.requires_keys; }
  /// Whether proxies count for tenants or cold backends together.
  [[nodiscard]] bool has_shared_limits() const { return state_.requires_keys || limits_cold_backends_; }
  [[nodiscard]] const GroupRule* find_group(const GroupName& group) const {
    return state_.groups.find(group);
  }
  [[nodiscard]] const BackendEntry* find_backend(const BackendName& name) const {
    return state_.backends.find(name);
  }
  /// Who registered last at an address and is not gone; null: nobody.
  [[nodiscard]] const BackendEntry* find_backend_at(const Endpoint& endpoint) const;
  /// The incarnation of that start was deregistered for good, or is before one that was; a late heartbeat
  /// does not bring it back.
  [[nodiscard]] bool is_deregistered(const BackendName& name, std::uint64_t born_ms = 0) const {
    return state_.backends.was_removed(name) && born_ms <= ended_birth(name);
  }
  /// The start of the last incarnation of a removed backend; 0: it told none, or is not known.
  [[nodiscard]] std::uint64_t ended_birth(const BackendName& name) const {
    const auto found = state_.ended_births.find(name);
    return found == state_.ended_births.end() ? 0 : found->second;
  }
  /// The fleet's revision at which the backend was put as it is now: who holds a later one knows it.
  [[nodiscard]] std::uint64_t backend_revision(const BackendName& name) const {
    return state_.backends.revision_of(name);
  }
  [[nodiscard]] std::vector<BackendEntry> backends_of(const GroupName& group) const;
  /// Names of the group's backends; empty where none registered.
  [[nodiscard]] const std::set<BackendName>& members_of(const GroupName& group) const;
  /// The group's backends, each as the incarnation that is registered.
  [[nodiscard]] std::set<BackendIncarnation> incarnations_of(const GroupName& group) const;
  [[nodiscard]] std::vector<BackendEntry> backends() const { return state_.backends.all(); }
  [[nodiscard]] const GroupTerm* find_term(const GroupName& group) const { return state_.terms.find(group); }
  [[nodiscard]] std::vector<Evacuation> evacuations() const { return state_.evacuations.all(); }
  [[nodiscard]] bool is_evacuated(const ZoneName& zone) const {
    return state_.evacuations.find(zone) != nullptr;
  }
  /// The zone was evacuated once and is not now, as far as that is remembered.
  [[nodiscard]] bool was_evacuated(const ZoneName& zone) const {
    return state_.evacuations.was_removed(zone);
  }
  [[nodiscard]] std::vector<AdmittedProxy> proxies() const { return state_.proxies.all(); }
  [[nodiscard]] std::size_t proxy_count() const { return state_.proxies.size(); }
  [[nodiscard]] const AdmittedProxy* find_proxy(const NodeName& node) const {
    return state_.proxies.find(node);
  }

  /// Whether every proxy that may have acknowledged something since the group's primary led is still
  /// admitted.
  [[nodiscard]] bool knows_all_acknowledgers(const GroupTerm& term) const {
    return state_.proxy_lost_at <= term.opened_at;
  }

  /// What a follower that holds `revision` lacks; everything when that is cheaper or it holds nothing.
  [[nodiscard]] FleetDelta delta_since(std::uint64_t revision) const;
  /// Notified after each command with an effect.
  runtime::Signal& changed() { return changed_; }

 private:
  struct State {
    std::uint64_t revision = 0;
    /// Removed rows are known from this revision on.
    std::uint64_t complete_from = 0;
    std::uint64_t document_version = 0;
    std::string document_text;
    std::uint64_t transaction_idle_ms = 0;
    RevisedTable<RouteName, RouteRule> routes;
    RevisedTable<GroupName, GroupRule> groups;
    RevisedTable<BackendName, BackendEntry> backends;
    RevisedTable<GroupName, GroupTerm> terms;
    RevisedTable<NodeName, AdmittedProxy> proxies;
    bool requires_keys = false;
    RevisedTable<TenantName, TenantRule> tenants;
    std::uint64_t proxy_lost_at =
        0;  ///< revision at which an incarnation of a proxy was last replaced or forgotten
    /// Of removed backends, the start of the last incarnation: what an earlier one says comes late.
    std::map<BackendName, std::uint64_t> ended_births;
    RevisedTable<ZoneName, Evacuation> evacuations;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(revision, complete_from, document_version, document_text, transaction_idle_ms, routes, groups,
              backends, terms, proxies, proxy_lost_at);
      wire::since(archive, wire::kTenantsFormat, requires_keys, false);
      wire::since(archive, wire::kTenantsFormat, tenants, RevisedTable<TenantName, TenantRule>());
      wire::since(archive, wire::kPlacementFormat, ended_births, std::map<BackendName, std::uint64_t>());
      wire::since(archive, wire::kPlacementFormat, evacuations, RevisedTable<ZoneName, Evacuation>());
    }
  };

  bool take(ReplaceDocument& command);
  bool take(RegisterBackend& command);
  bool take(DeregisterBackend& command);
  bool take(AdmitProxy& command);
  bool take(ForgetProxy& command);
  bool take(CloseGroup& command);
  bool take(OpenGroup& command);
  bool take(BeginEvacuation& command);
  bool take(EndEvacuation& command);
  bool take(CommandBatch& command);
  void put_term(const GroupTerm& term);
  void put_backend(BackendEntry entry);
  bool remove_backend(const BackendName& name);
  /// Takes out who registered at the entry's address before. False: the entry comes late, another started
  /// there after it.
  bool take_address(const BackendEntry& entry);
  /// Ended incarnations are remembered as long as their names are.
  void bound_ended_births();
  void record_backend(const BackendEntry& entry);
  /// Makes a table hold these rows, by their names. Rows that stay as they are keep their revision.
  template <class Key, class Row>
  void replace_rows(RevisedTable<Key, Row>& table, const std::vector<Row>& rows);
  void record_groups();
  void bound_removed();
  [[nodiscard]] std::uint64_t next_revision() const { return state_.revision + 1; }

  State state_;
  // Worked out of `state_.backends`, so that no command and no look at one group goes through all of them.
  std::map<GroupName, std::set<BackendName>> members_;
  std::map<Endpoint, BackendName> at_endpoint_;
  bool limits_cold_backends_ = false;  ///< some group has a cold rate
  std::uint64_t terms_revision_ = 0;
  std::uint64_t proxies_revision_ = 0;
  runtime::Signal changed_;
};

}  // namespace cairnhollow::registered::registry
