// The registered backends of one group and what concerns all of them: connection shares, zones, and which one
// has the primary's name. backend_standing.h tells whether a statement may go to one.
#pragma once

#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "registered/proxy/group/backend_use.h"
#include "registered/proxy/group/connection_shares.h"
#include "registered/proxy/group/leadership.h"

namespace cairnhollow::registered::proxy {

/// How a registration differs from the previous one under the same name.
enum class BackendChange : std::uint8_t {
  kSame,
  kJoined,            ///< there was none, or it had another address
  kOtherIncarnation,  ///< nothing known of the previous incarnation applies to it
};

/// References are not owned and must outlive this object.
class GroupBackends {
 public:
  /// `evacuated`: the zones being evacuated; may change at any time.
  GroupBackends(runtime::Runtime& runtime, BackendDialer& dialer, const Leadership& leadership,
                ConnectionShares shares, std::shared_ptr<const EvacuatedZones> evacuated)
      : runtime_(runtime),
        dialer_(dialer),
        leadership_(leadership),
        shares_(std::move(shares)),
        evacuated_(std::move(evacuated)) {}

  BackendChange put(const registry::BackendEntry& entry);
  /// Returns false if there is no backend of this name.
  bool remove(const BackendName& name);
  [[nodiscard]] const std::map<BackendName, std::shared_ptr<BackendState>>& all() const { return backends_; }
  /// Returns the backend at this index in all(). Valid only while the set of backends is unchanged.
  [[nodiscard]] std::shared_ptr<BackendState> at(std::size_t index) const;

  /// Returns the backend registered under the primary's name, even while the group is closed; null if there
  /// is none.
  [[nodiscard]] std::shared_ptr<BackendState> named_primary() const;
  /// Returns named_primary() while the term is open, otherwise null.
  [[nodiscard]] std::shared_ptr<BackendState> open_primary() const {
    return leadership_.term().open ? named_primary() : nullptr;
  }
  /// Whether another incarnation has registered under the primary's name.
  [[nodiscard]] bool is_primary_restarted() const;

  /// Divides each backend's connections evenly among this number of proxies.
  void share_connections(std::uint64_t proxies);
  /// Divides them for links dedicated to one tenant each: nearly all go to the owners of each backend.
  /// `serving`: the proxies that serve the group, in the order of subset::SubsetTable::serving(). `self`:
  /// this proxy.
  void share_connections(std::vector<subset::ProxyPointer> serving, const NodeName& self);
  /// Divides them by region: most go to the proxies in the backend's region.
  void share_connections(balancing::RegionalServing serving);
  /// To be called from time to time: the limits on links grow some seconds after a change of owners.
  void refresh_link_limits();
  /// The proxies that own the backends in the zone; empty without tenants.
  [[nodiscard]] std::vector<subset::ProxyPointer> owners_in(const ZoneName& zone) const {
    return shares_.owners_in(zone);
  }
  /// Number of statements that each backend can run concurrently, in the order of all().
  [[nodiscard]] std::vector<std::uint64_t> slots() const;

  /// Whether a backend in the zone takes reads.
  [[nodiscard]] bool has_readers_in(const ZoneName& zone) const;
  /// The distinct zones of the backends that take reads.
  [[nodiscard]] std::vector<ZoneName> reading_zones() const;
  /// Closes idle links to evacuated zones, and those to the open primary once its grace period is over.
  void close_evacuated_links();
  /// Treats the zone's backends as cold for kColdAfterEvacuation: they may have become cold while unused.
  void record_evacuation_ended(const ZoneName& zone);

 private:
  runtime::Runtime& runtime_;
  BackendDialer& dialer_;
  const Leadership& leadership_;
  ConnectionShares shares_;
  std::shared_ptr<const EvacuatedZones> evacuated_;
  std::map<BackendName, std::shared_ptr<BackendState>> backends_;
};

}  // namespace cairnhollow::registered::proxy
