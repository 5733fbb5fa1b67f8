// Computes this proxy's share of a backend's connections and slots among the proxies that serve the group.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

#include "registered/balancing/region_division.h"
#include "registered/proxy/group/backend_use.h"
#include "registered/registry/model.h"
#include "registered/tenancy/tenant_division.h"

namespace cairnhollow::registered::proxy {

/// Bounds on the connections of a proxy to one backend, whatever its share.
inline constexpr std::uint64_t kMinConnections = 2;
inline constexpr std::uint64_t kMaxConnections = 12;
/// Upper bound at a proxy in the backend's zone when each link is dedicated to one tenant. Most of these
/// links are idle.
inline constexpr std::uint64_t kMaxLocalConnections = 24;
/// Idle timeout of links at proxies in the backend's zone when each link is dedicated to one tenant: a small
/// tenant uses the same backend again after some seconds. Elsewhere, kIdleLinkTimeout applies.
inline constexpr Duration kLocalIdleLinkTimeout = std::chrono::seconds(20);

class ConnectionShares {
 public:
  /// `rule`: the group's current rule; not owned, must outlive this object. `zone`: zone of this proxy.
  ConnectionShares(const registry::GroupRule& rule, ZoneName zone) : rule_(rule), zone_(std::move(zone)) {}

  /// Divides each backend's connections evenly among this number of proxies.
  void divide(std::uint64_t proxies);
  /// Divides them for links dedicated to one tenant each: most go to the proxies in the backend's zone.
  void divide(tenancy::ServingProxies serving);
  /// Divides them by region: most go to the proxies in the backend's region.
  void divide(balancing::RegionalServing serving);
  /// Limits the backend's links and concurrent statements to this proxy's share.
  void apply_to(BackendState& backend) const;

 private:
  [[nodiscard]] std::uint64_t links_to(const ZoneName& zone) const;
  /// Number of proxies that share the slots of a backend in the zone with this one.
  [[nodiscard]] std::uint64_t users_of(const ZoneName& zone) const;

  const registry::GroupRule& rule_;
  ZoneName zone_;
  std::uint64_t proxies_ = 1;
  // Both empty: connections are divided evenly.
  std::optional<tenancy::ServingProxies> serving_;
  std::optional<balancing::RegionalServing> regional_;
};

}  // namespace cairnhollow::registered::proxy
