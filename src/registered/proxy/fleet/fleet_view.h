// A proxy's copy of the registered fleet: routes by database, groups, and how long it may be trusted.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <tuple>
#include <vector>

#include "registered/limits/quota_ledger.h"
#include "registered/locality/permitted_regions.h"
#include "registered/proxy/group/group_access.h"
#include "registered/proxy/links/cold_backend.h"
#include "registered/proxy/settings.h"
#include "registered/registry/delta.h"
#include "registered/registry/messages.h"
#include "registered/tenancy/key_confirmation.h"
#include "registered/tenancy/tenant_directory.h"
#include "subset/subset.h"

namespace cairnhollow::registered::proxy {

/// So soon after its start, or after its last lease, a proxy expects the next one. What needs it waits only
/// then. After a common loss of power leases came 0.12
/// to 0.52 s after the proxies' start; a proxy without one by then is cut off, and its callers are told at
/// once.
inline constexpr Duration kFirstLeaseExpectedWithin = std::chrono::milliseconds(700);
inline constexpr Duration kLeaseExpectedWithin = std::chrono::milliseconds(1500);
/// Orders of proxies for a group and a tenant that are remembered, 0.5 KB each; then they are worked out
/// anew.
inline constexpr std::size_t kMostTenantDivisions = 4096;

/// What a group's backends are to do for a tenant.
enum class GroupWork : std::uint8_t { kAtPrimary, kSingleReads };

/// What it refers to outlives it; it lives until the process ends.
class FleetView {
 public:
  FleetView(runtime::Runtime& runtime, BackendDialer& dialer, const SessionProxySettings& settings)
      : runtime_(runtime),
        dialer_(dialer),
        node_(settings.node),
        zone_(settings.zone),
        evacuated_(std::make_shared<EvacuatedZones>(settings.evacuation_bound)),
        regions_(settings.zone_regions),
        keys_confirmed_(settings.key_bound),
        limit_window_(settings.limit_window),
        cold_window_{kColdWindow, settings.cold_overshoot - 1, settings.cold_slack},
        limits_cold_(settings.cold_overshoot > 0 || settings.cold_slack > 0),
        quotas_(settings.node),
        renewed_(runtime),
        started_(runtime.now()) {}

  /// Takes over what changed. Groups closed by it acknowledge nothing any more when this returns.
  void apply(const registry::FleetDelta& delta);
  /// Control answered a question asked at `asked_at`, after a quorum round: the copy is the newest of then,
  /// and may be trusted until `until`, on this process's clock.
  /// `stable_revision`: no proxy acts on an older membership any more.
  void extend_lease(TimePoint asked_at, TimePoint until, std::uint64_t stable_revision);

  [[nodiscard]] bool lease_valid() const { return runtime_.now() < lease_until_; }
  [[nodiscard]] TimePoint lease_until() const { return lease_until_; }
  /// The group's members gave a lease for the primary of `epoch`, of use as long as control was not gone too
  /// long.
  void extend_member_lease(GroupAccess& group, std::uint64_t epoch, std::uint64_t membership,
                           TimePoint until);
  /// Control's lease, or that of the group's members, lets this proxy use the group's primary.
  [[nodiscard]] bool holds_lease_for(const GroupAccess& group) const {
    return lease_valid() || group.leadership.has_member_lease();
  }
  /// Some group is served by its members' lease.
  [[nodiscard]] bool has_member_lease() const;
  /// Whether a lease is to be expected soon: the process has just started, or the last one has just run out.
  [[nodiscard]] bool expects_lease() const {
    const TimePoint now = runtime_.now();
    return now < started_ + kFirstLeaseExpectedWithin || now < lease_until_ + kLeaseExpectedWithin;
  }
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  [[nodiscard]] std::uint64_t document_version() const { return document_version_; }
  [[nodiscard]] Duration transaction_idle() const { return transaction_idle_; }
  /// Null when no route names the database.
  [[nodiscard]] const registry::RouteRule* find_route(const DatabaseName& database) const;
  /// Callers prove their tenant by a key, but on public routes.
  [[nodiscard]] bool requires_keys() const { return requires_keys_; }
  /// Whether callers of the route have to prove their tenant.
  [[nodiscard]] bool needs_key(const registry::RouteRule& route) const {
    return requires_keys_ && !route.is_public;
  }
  /// Where a statement of the route and tenant may go by the document of now. What it refers to lives as long
  /// as this view.
  [[nodiscard]] locality::PermittedRegions allowed_regions(const registry::RouteRule& route,
                                                           const TenantName& tenant) const;
  [[nodiscard]] const tenancy::TenantDirectory& tenants() const { return tenants_; }
  [[nodiscard]] const tenancy::KeyConfirmation& keys_confirmed() const { return keys_confirmed_; }
  [[nodiscard]] const EvacuatedZones& evacuated() const { return *evacuated_; }
  [[nodiscard]] const limits::LimitWindow& limit_window() const { return limit_window_; }
  /// Empty: there is no such tenant.
  [[nodiscard]] std::optional<limits::Limit> tenant_limit(const TenantName& tenant) const;
  /// What may be sent to the backend while it is cold, whether it is now or not. Empty: it is not known here,
  /// or its group limits nothing.
  [[nodiscard]] std::optional<limits::Limit> cold_limit(const BackendName& backend) const;
  /// What this proxy counts for tenants and cold backends, and who counts for the others.
  limits::QuotaLedger& quotas() { return quotas_; }
  [[nodiscard]] const NodeName& node() const { return node_; }
  [[nodiscard]] const ZoneName& zone() const { return zone_; }
  /// Null when it is not registered, as far as this proxy knows.
  [[nodiscard]] const registry::BackendEntry* find_backend(const BackendName& name) const;
  /// Null when the document has no such group.
  std::shared_ptr<GroupAccess> find_group(const GroupName& group);
  [[nodiscard]] const std::map<GroupName, std::shared_ptr<GroupAccess>>& groups() const { return groups_; }
  /// The proxies to which statements for the group are to be forwarded, first choice first. Empty: this proxy
  /// serves it. Only so many serve a group that each has connections to work with.
  [[nodiscard]] const std::vector<subset::ProxyPointer>& forward_to(const GroupName& group);
  /// The same for one tenant's statements: a tenant's links to a backend are with few of the proxies of its
  /// zone that serve the group. This proxy is among them, behind others, where it serves the group as well.
  /// Empty as well for work at a primary while none may be used: it waits here until its zone is known.
  [[nodiscard]] const std::vector<subset::ProxyPointer>& forward_to(const GroupName& group,
                                                                    const TenantName& tenant, GroupWork work);
  /// The other proxies that serve a group which this proxy serves as well, first choice first.
  [[nodiscard]] const std::vector<subset::ProxyPointer>& also_serving(const GroupName& group);
  /// Every other proxy that takes work, those of this zone first.
  [[nodiscard]] const std::vector<subset::ProxyPointer>& others() const { return others_; }
  /// Those of `proxies` to which a statement's text may be sent, and this proxy, which has it.
  [[nodiscard]] std::vector<subset::ProxyPointer> in_regions(const std::vector<subset::ProxyPointer>& proxies,
                                                             const locality::PermittedRegions& allowed) const;
  /// What is to be told of every closed group.
  [[nodiscard]] std::vector<registry::ClosedGroup> closed_groups() const;

  /// Whether the primary of `epoch` may be sent to, and its answers be passed on, at this moment: not once
  /// another incarnation has its name.
  [[nodiscard]] bool may_use_primary(const GroupAccess& group, std::uint64_t epoch) const {
    const bool is_same =
        group.term().open && group.term().epoch == epoch && !group.backends.is_primary_restarted();
    return is_same && holds_lease_for(group);
  }
  /// Notified when the lease was extended.
  runtime::Signal& renewed() { return renewed_; }

 private:
  /// Whose order of proxies for work in which zone.
  struct TenantPlace {
    GroupName group;
    TenantName tenant;
    ZoneName zone;
  };
  /// Finds a place by references to its parts, so that a look copies none.
  using TenantPlaceView = std::tuple<const GroupName&, const TenantName&, const ZoneName&>;
  struct PlaceOrder {
    using is_transparent = void;
    static TenantPlaceView view(const TenantPlace& place) {
      return std::tie(place.group, place.tenant, place.zone);
    }
    static const TenantPlaceView& view(const TenantPlaceView& place) { return place; }
    bool operator()(const auto& one, const auto& other) const { return view(one) < view(other); }
  };

  std::shared_ptr<GroupAccess> access(const GroupName& group);
  /// Where the backends are that are to do a tenant's work; empty while nobody leads that may be used.
  [[nodiscard]] std::optional<ZoneName> zone_of_work(const GroupName& group, const TenantName& tenant,
                                                     GroupWork work) const;
  /// Divides the group's connections among those that serve it.
  void share_connections(GroupAccess& group, const std::vector<subset::ProxyPointer>& serving) const;
  void apply_routes(const registry::FleetDelta& delta);
  void apply_backends(const registry::FleetDelta& delta);
  /// The zones that are given back by it.
  std::vector<ZoneName> apply_evacuations(const registry::FleetDelta& delta);
  /// The moment that counts for orders of the delta at hand. Now under a lease; else the end of the last one,
  /// since the order may be that old. With no lease ever it may be of any age.
  [[nodiscard]] TimePoint evacuation_known_since() const;
  void log_evacuation(const char* event, const ZoneName& zone, std::uint64_t revision);
  void apply_tenants(const registry::FleetDelta& delta);
  /// Some route or tenant names the regions in which its statements run.
  [[nodiscard]] bool names_regions() const;
  /// Logs zones that lists of regions shut out, since no setting tells where they are.
  void record_unknown_regions(const registry::FleetDelta& delta);
  void record_zone(const ZoneName& zone);
  /// Proxies that the delta names, as they are or were.
  [[nodiscard]] std::vector<subset::ProxyPointer> changed_proxies(const registry::FleetDelta& delta) const;
  /// Those that take new work.
  [[nodiscard]] std::vector<subset::ProxyPointer> takers() const;
  void apply_proxies(const registry::FleetDelta& delta);
  /// Who serves each group, and how its connections are shared.
  void divide_groups(const std::vector<subset::ProxyPointer>& takers);
  /// Whether it may change which proxies serve a group, or their shares of its connections. A backend counts
  /// with its slots and where it is, not with what it is doing. Asked before its backends are taken over.
  [[nodiscard]] bool changes_division(const registry::FleetDelta& delta) const;

  runtime::Runtime& runtime_;
  BackendDialer& dialer_;
  NodeName node_;
  ZoneName zone_;
  std::shared_ptr<EvacuatedZones> evacuated_;
  const locality::RegionMap regions_;
  bool requires_keys_ = false;
  bool keys_changed_ = false;  ///< by the delta at hand: links are divided otherwise with tenants
  tenancy::TenantDirectory tenants_;
  tenancy::KeyConfirmation keys_confirmed_;
  limits::LimitWindow limit_window_;
  limits::LimitWindow cold_window_;
  bool limits_cold_;  ///< what is sent to cold backends is bound
  limits::QuotaLedger quotas_;
  runtime::Signal renewed_;
  TimePoint started_;
  TimePoint lease_until_{};
  std::uint64_t revision_ = 0;
  std::uint64_t document_version_ = 0;
  Duration transaction_idle_{0};
  std::map<RouteName, registry::RouteRule> routes_;
  bool routes_name_regions_ = false;
  std::set<ZoneName> told_unknown_;  ///< zones that were logged
  std::map<DatabaseName, RouteName> by_database_;
  std::map<GroupName, std::shared_ptr<GroupAccess>> groups_;
  std::map<BackendName, GroupName> group_of_;
  std::map<NodeName, registry::AdmittedProxy> proxies_;
  std::map<GroupName, std::vector<subset::ProxyPointer>> forward_to_;
  std::map<GroupName, std::vector<subset::ProxyPointer>> also_serving_;
  std::map<GroupName, std::vector<subset::ProxyPointer>> serving_;  ///< with this proxy, where it does
  /// Worked out when wanted, from `serving_` and the tenants' limits.
  std::map<TenantPlace, std::vector<subset::ProxyPointer>, PlaceOrder> forward_for_;
  std::vector<subset::ProxyPointer> others_;
};

}  // namespace cairnhollow::registered::proxy
