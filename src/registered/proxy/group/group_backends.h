// The backends of one group that are registered, and what concerns all of them: their links' shares, their
// zones, and which of them has the primary's name. Whether a statement may go to one: backend_standing.h.
#pragma once

#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "registered/proxy/group/backend_use.h"
#include "registered/proxy/group/connection_shares.h"
#include "registered/proxy/group/leadership.h"

namespace cairnhollow::registered::proxy {

/// What a registration says of the backend that had its name.
enum class BackendChange : std::uint8_t {
  kSame,
  kJoined,            ///< there was none, or at another address
  kOtherIncarnation,  ///< nothing that is known of the former one is said of it
};

/// What is named outlives it.
class GroupBackends {
 public:
  /// `evacuated`: as the proxy knows them; it may change at any time.
  GroupBackends(runtime::Runtime& runtime, BackendDialer& dialer, const Leadership& leadership,
                ConnectionShares shares, std::shared_ptr<const EvacuatedZones> evacuated)
      : runtime_(runtime),
        dialer_(dialer),
        leadership_(leadership),
        shares_(std::move(shares)),
        evacuated_(std::move(evacuated)) {}

  BackendChange put(const registry::BackendEntry& entry);
  /// False when there is none of the name.
  bool remove(const BackendName& name);
  [[nodiscard]] const std::map<BackendName, std::shared_ptr<BackendUse>>& all() const { return backends_; }
  /// The one at this place in all(), as long as nothing has changed since.
  [[nodiscard]] std::shared_ptr<BackendUse> at(std::size_t place) const;

  /// The backend registered under the primary's name, also while the group is closed; null: there is none.
  [[nodiscard]] std::shared_ptr<BackendUse> named_primary() const;
  /// The same while the term is open, else null.
  [[nodiscard]] std::shared_ptr<BackendUse> open_primary() const {
    return leadership_.term().open ? named_primary() : nullptr;
  }
  /// Another incarnation has registered under the primary's name.
  [[nodiscard]] bool is_primary_restarted() const;

  /// Divides each backend's connections evenly among so many proxies.
  void share_connections(std::uint64_t proxies);
  /// The same where links are of one tenant each: most go to the proxies of the backend's zone.
  void share_connections(tenancy::ServingProxies serving);
  /// What each backend can run at once.
  [[nodiscard]] std::vector<std::uint64_t> slots() const;

  /// Whether a backend of the zone takes reads.
  [[nodiscard]] bool reads_in(const ZoneName& zone) const;
  /// Zones with backends that take reads, each once.
  [[nodiscard]] std::vector<ZoneName> reading_zones() const;
  /// Closes what is not in use of links to evacuated zones.
  void close_evacuated_links();
  /// The zone is given back: its backends may have turned cold meanwhile.
  void record_evacuation_ended(const ZoneName& zone);

 private:
  runtime::Runtime& runtime_;
  BackendDialer& dialer_;
  const Leadership& leadership_;
  ConnectionShares shares_;
  std::shared_ptr<const EvacuatedZones> evacuated_;
  std::map<BackendName, std::shared_ptr<BackendUse>> backends_;
};

}  // namespace cairnhollow::registered::proxy
