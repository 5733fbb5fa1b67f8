// How many of a backend's connections and slots this proxy may use: its share among the proxies that serve
// the group.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

#include "registered/proxy/group/backend_use.h"
#include "registered/registry/model.h"
#include "registered/tenancy/tenant_division.h"

namespace cairnhollow::registered::proxy {

/// Connections to one backend that a proxy has at least and at most, whatever its share is. Chosen, not
/// measured.
inline constexpr std::uint64_t kLeastConnections = 2;
inline constexpr std::uint64_t kMostConnections = 12;
/// At most where links are of one tenant each, at a proxy of the backend's zone: most of them rest. Chosen,
/// not measured.
inline constexpr std::uint64_t kMostNearConnections = 24;
/// How long an idle link is kept at the proxies of the backend's zone, which have most links where each is of
/// one tenant: a small tenant comes back to a backend after some seconds. Elsewhere: kIdleLinkLife. Chosen,
/// not measured.
inline constexpr Duration kNearIdleLinkLife = std::chrono::seconds(20);

class ConnectionShares {
 public:
  /// `rule`: of the group as it is now; it outlives this. `zone`: this proxy's.
  ConnectionShares(const registry::GroupRule& rule, ZoneName zone) : rule_(rule), zone_(std::move(zone)) {}

  /// Each backend's connections are divided evenly among so many proxies.
  void divide(std::uint64_t proxies);
  /// The same where links are of one tenant each: most go to the proxies of the backend's zone.
  void divide(tenancy::ServingProxies serving);
  /// Bounds the backend's links and running statements by this proxy's share.
  void apply_to(BackendUse& backend) const;

 private:
  [[nodiscard]] std::uint64_t links_to(const ZoneName& zone) const;

  const registry::GroupRule& rule_;
  ZoneName zone_;
  std::uint64_t proxies_ = 1;
  std::optional<tenancy::ServingProxies> serving_;  ///< empty: connections are divided evenly
};

}  // namespace cairnhollow::registered::proxy
