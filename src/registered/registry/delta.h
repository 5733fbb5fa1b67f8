// Changes of a registered fleet between two revisions, as sent to proxies.
#pragma once

#include <cstdint>
#include <vector>

#include "registered/registry/model.h"

namespace cairnhollow::registered::registry {

/// If `is_full` is set, replaces the receiver's entire state; otherwise changes only the rows that it
/// contains.
struct FleetDelta {
  bool is_full = false;
  std::uint64_t revision = 0;  ///< revision of the receiver after applying it; 0: nothing is known yet
  std::uint64_t document_version = 0;
  std::uint64_t transaction_idle_ms = 0;
  /// Routes of one name are replaced together: those that are not listed with it are removed.
  std::vector<RouteRule> routes;
  std::vector<RouteName> removed_routes;  ///< names that no route has any more
  std::vector<GroupRule> groups;
  std::vector<GroupName> removed_groups;
  std::vector<BackendEntry> backends;
  std::vector<BackendName> removed_backends;
  std::vector<GroupTerm> terms;
  std::vector<AdmittedProxy> proxies;  ///< proxies that divide each backend's connections among themselves
  std::vector<NodeName> removed_proxies;
  bool requires_keys = false;  ///< see ConfigurationDocument::requires_keys
  std::vector<TenantRule> tenants;
  std::vector<TenantName> removed_tenants;
  std::vector<Evacuation> evacuations;  ///< zones with an evacuation in effect
  std::vector<ZoneName> ended_evacuations;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(is_full, revision, document_version, transaction_idle_ms, routes, removed_routes, groups,
            removed_groups, backends, removed_backends, terms, proxies, removed_proxies);
    wire::since(archive, wire::kTenantsFormat, requires_keys, false);
    wire::since(archive, wire::kTenantsFormat, tenants, std::vector<TenantRule>());
    wire::since(archive, wire::kTenantsFormat, removed_tenants, std::vector<TenantName>());
    wire::since(archive, wire::kPlacementFormat, evacuations, std::vector<Evacuation>());
    wire::since(archive, wire::kPlacementFormat, ended_evacuations, std::vector<ZoneName>());
  }
};

}  // namespace cairnhollow::registered::registry
