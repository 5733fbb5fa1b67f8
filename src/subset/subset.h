// Which proxies serve a database group. A backend has few connections: before many proxies only some of them
// serve a group, so that each of these has connections to work with, and the others forward to them. Pure:
// each proxy works the subsets out from the membership that it follows, without messages.
//
// Rendezvous hashing (Thaler and Ravishankar, IEEE/ACM Transactions on Networking 1998), first over the
// zones, then over the proxies of each zone: a proxy lost or added moves only the groups that it serves.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "base/types.h"

namespace cairnhollow::subset {

/// A serving proxy has at least this many connections to each backend of its groups, where the limit allows.
inline constexpr std::uint32_t kLeastConnectionsOfServingProxy = 3;
/// However few connections a backend has, so many proxies serve a group: one may fail.
inline constexpr std::uint32_t kLeastServingProxies = 2;

/// A proxy that takes work: its object exists, does not drain, and the platform does not list it as leaving.
struct ProxyView {
  NodeName name;
  ZoneName zone;
  Endpoint endpoint;  ///< where callers and other proxies reach it
  auto operator<=>(const ProxyView&) const = default;
};
using ProxyPointer = std::shared_ptr<const ProxyView>;

/// How many of `proxies` serve a group with so many connections a backend: all of them as long as each has
/// kLeastConnectionsOfServingProxy.
std::uint32_t subset_size(std::uint32_t connections_per_backend, std::size_t proxies);

/// The proxies by zone with their hashes. Built once for a membership, used for each group.
class SubsetTable {
 public:
  SubsetTable() = default;
  explicit SubsetTable(const std::vector<ProxyPointer>& proxies);

  /// The `size` proxies that serve the group (all, when there are not more). Zones take
  /// turns in the order of their weight for the group, each with its proxies in the order of theirs.
  /// Cost: one multiplication a proxy of the zones that are used.
  [[nodiscard]] std::vector<ProxyPointer> serving(const GroupName& group, std::uint32_t size) const;
  /// Of all zones.
  [[nodiscard]] std::size_t proxies() const { return proxies_; }

 private:
  struct Node {
    std::uint64_t hash = 0;
    ProxyPointer proxy;
  };
  struct Zone {
    std::uint64_t hash = 0;
    std::vector<Node> nodes;
  };

  /// How many proxies each zone gives, by place in the order of zones.
  static std::vector<std::uint32_t> shares(const std::vector<const Zone*>& zone_order, std::size_t wanted);
  static void add_best(const Zone& zone, std::uint64_t key, std::uint32_t count,
                       std::vector<ProxyPointer>& subset);

  std::vector<Zone> zones_;
  std::size_t proxies_ = 0;
};

/// `subset`, as serving() gave it, in the order in which the proxy `from` forwards to it: those of its own
/// zone, then the others, each by rendezvous weight for this forwarder, so that forwarders spread.
std::vector<ProxyPointer> forwarding_order(const std::vector<ProxyPointer>& subset, const NodeName& from,
                                           const ZoneName& zone);

}  // namespace cairnhollow::subset
