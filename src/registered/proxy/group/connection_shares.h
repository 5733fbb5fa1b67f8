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

/// Idle timeout of the links that a proxy keeps to a backend of its zone in a deployment of several regions:
/// longer than demand that comes in waves is low, some 10 s, so that the next wave finds them open.
inline constexpr Duration kLastingLinkTimeout = std::chrono::seconds(20);
/// Part of a backend's connections that these links may take together. The rest stays free for the proxies
/// that take over while the connections of lost ones are still counted.
inline constexpr std::uint64_t kLastingLinksDivisor = 4;

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
  /// Limits the backend's links and concurrent statements to this proxy's share, and sets how long its links
  /// are kept and whether they are opened ahead of need.
  void apply_to(BackendState& backend) const;

 private:
  [[nodiscard]] std::uint64_t links_to(const ZoneName& zone) const;
  /// Number of links to a backend in the zone that are kept for kLastingLinkTimeout; 0 in other zones.
  [[nodiscard]] std::uint64_t lasting_links_to(const ZoneName& zone) const;
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
