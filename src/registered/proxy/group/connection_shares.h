// Computes this proxy's share of a backend's connections and slots among the proxies that serve the group.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "registered/balancing/region_division.h"
#include "registered/proxy/group/backend_use.h"
#include "registered/registry/model.h"

namespace cairnhollow::registered::proxy {

/// Bounds on the connections of a proxy to one backend, whatever its share.
inline constexpr std::uint64_t kMinConnections = 2;
inline constexpr std::uint64_t kMaxConnections = 12;
/// Upper bound at an owner of the backend, when each link is dedicated to one tenant. Most of these links are
/// idle.
inline constexpr std::uint64_t kMaxOwnedConnections = 24;
/// Idle timeout of links at the backend's owners when each link is dedicated to one tenant: a small tenant
/// uses the same backend again after some seconds. Elsewhere, kIdleLinkTimeout applies.
inline constexpr Duration kOwnedIdleLinkTimeout = std::chrono::seconds(20);

/// The proxies that serve a group whose links are dedicated to one tenant each.
struct TenantServing {
  std::vector<subset::ProxyPointer> proxies;  ///< in the order of subset::SubsetTable::serving()
  NodeName self;                              ///< this proxy
  std::uint64_t slots = 0;                    ///< the most that a backend of the group has; 0: unknown
};

/// Sets how many statements this proxy may have at the backend, if its slots are divided among owners.
void apply_capacity(BackendState& backend, TimePoint now);
/// Sets the limits on this proxy's links to the backend, which change with time after a change of owners.
void apply_link_limits(BackendState& backend, TimePoint now);

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
  /// Divides them for links dedicated to one tenant each: nearly all go to the owners of each backend.
  void divide(TenantServing serving);
  /// Divides them by region: most go to the proxies in the backend's region.
  void divide(balancing::RegionalServing serving);
  /// Limits the backend's links and concurrent statements to this proxy's share, and sets how long its links
  /// are kept and whether they are opened ahead of need.
  void apply_to(BackendState& backend, TimePoint now) const;
  /// The proxies that own the group's backends in the zone; empty without tenants.
  [[nodiscard]] std::vector<subset::ProxyPointer> owners_in(const ZoneName& zone) const;

 private:
  void apply_even_share(BackendState& backend) const;
  void apply_owned_share(BackendState& backend, TimePoint now) const;
  [[nodiscard]] std::uint64_t links_to(const ZoneName& zone) const;
  /// Number of links to a backend in the zone that are kept for kLastingLinkTimeout; 0 in other zones.
  [[nodiscard]] std::uint64_t lasting_links_to(const ZoneName& zone) const;
  /// Number of proxies that share the slots of a backend in the zone with this one.
  [[nodiscard]] std::uint64_t users_of(const ZoneName& zone) const;

  const registry::GroupRule& rule_;
  ZoneName zone_;
  std::uint64_t proxies_ = 1;
  // Both empty: connections are divided evenly.
  std::optional<TenantServing> serving_;
  std::optional<balancing::RegionalServing> regional_;
};

}  // namespace cairnhollow::registered::proxy
