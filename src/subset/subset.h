// Selects the proxies that serve a database group. A backend accepts few connections, so with many proxies
// only a subset serves each group, with enough connections each, and the other proxies forward to it. Pure
// functions: each proxy computes the subsets from its view of the membership, without messages.
//
// Rendezvous hashing (Thaler and Ravishankar, IEEE/ACM Transactions on Networking 1998), first over zones,
// then over the proxies of each zone: adding or removing a proxy moves only the groups that it serves.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "base/types.h"

namespace cairnhollow::subset {

/// Minimum number of connections of a serving proxy to each backend of its groups, if the connection limit
/// allows.
inline constexpr std::uint32_t kMinConnectionsPerServingProxy = 3;
/// Minimum number of serving proxies of a group whatever the connection limit, so that one of them may fail.
inline constexpr std::uint32_t kMinServingProxies = 2;

/// A proxy available for work: its object exists, it is not draining, and the platform does not list it as
/// leaving.
struct ProxyView {
  NodeName name;
  ZoneName zone;
  Endpoint endpoint;  ///< where clients and other proxies connect to it
  auto operator<=>(const ProxyView&) const = default;
};
using ProxyPointer = std::shared_ptr<const ProxyView>;

/// Returns the number of `proxies` that serve a group with this many connections per backend: all of them as
/// long as each has kMinConnectionsPerServingProxy.
std::uint32_t subset_size(std::uint32_t connections_per_backend, std::size_t proxies);

/// The proxies by zone with their hashes. Built once per membership and used for every group.
class SubsetTable {
 public:
  SubsetTable() = default;
  explicit SubsetTable(const std::vector<ProxyPointer>& proxies);

  /// Returns the `size` proxies that serve the group, or all if there are no more. Zones take turns in order
  /// of their weight for the group, each contributing its proxies in order of weight. Costs one
  /// multiplication per proxy of the zones used.
  [[nodiscard]] std::vector<ProxyPointer> serving(const GroupName& group, std::uint32_t size) const;
  /// Returns the `size` proxies that serve a group whose backends are in the zones `near`: one of each zone,
  /// so that callers find one everywhere and the group survives the loss of `near`, and otherwise proxies of
  /// `near`, which take turns as above. Other zones contribute more only if `near` has no more proxies.
  [[nodiscard]] std::vector<ProxyPointer> serving_near(const GroupName& group, std::uint32_t size,
                                                       const std::vector<ZoneName>& near) const;
  /// Number of proxies in all zones.
  [[nodiscard]] std::size_t proxy_count() const { return proxy_count_; }

 private:
  struct Node {
    std::uint64_t hash = 0;
    ProxyPointer proxy;
  };
  struct Zone {
    ZoneName name;
    std::uint64_t hash = 0;
    std::vector<Node> nodes;
  };

  /// The zones in the order of their weight for the key of a group.
  [[nodiscard]] std::vector<const Zone*> zones_by_weight(std::uint64_t key) const;
  /// Returns the heaviest proxies of each zone, as many as the zone's share.
  static std::vector<ProxyPointer> heaviest(const std::vector<const Zone*>& zone_order,
                                            const std::vector<std::uint32_t>& shares, std::uint64_t key);
  /// Returns the number of proxies to take from each zone, in the order of `zone_order`.
  static std::vector<std::uint32_t> shares(const std::vector<const Zone*>& zone_order, std::size_t wanted);
  static void add_heaviest(const Zone& zone, std::uint64_t key, std::uint32_t count,
                           std::vector<ProxyPointer>& subset);

  std::vector<Zone> zones_;
  std::size_t proxy_count_ = 0;
};

/// Orders `subset`, a result of serving(), for forwarding by the proxy `from`: proxies of its own zone first,
/// then the others, each by rendezvous weight for `from`, so that the load of different forwarders is spread.
std::vector<ProxyPointer> forwarding_order(const std::vector<ProxyPointer>& subset, const NodeName& from,
                                           const ZoneName& zone);

}  // namespace cairnhollow::subset
