// A proxy's copy of the registered fleet: routes by database, groups, and the lease under which they are
// valid.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <tuple>
#include <vector>

#include "registered/limits/quota_ledger.h"
#include "registered/locality/permitted_regions.h"
#include "registered/placement/lease_expectation.h"
#include "registered/proxy/fleet/return_steps.h"
#include "registered/proxy/group/group_access.h"
#include "registered/proxy/links/cold_backend.h"
#include "registered/proxy/settings.h"
#include "registered/registry/delta.h"
#include "registered/registry/messages.h"
#include "registered/tenancy/key_confirmation.h"
#include "registered/tenancy/tenant_directory.h"
#include "subset/subset.h"

namespace cairnhollow::registered::proxy {

/// Cached proxy orders per group, tenant and zone, about 0.5 KB each. The cache is cleared when it exceeds
/// this number.
inline constexpr std::size_t kMaxCachedTenantOrders = 4096;

/// The kind of work that a group's backends do for a tenant.
enum class GroupWork : std::uint8_t { kAtPrimary, kSingleReads };

/// `runtime` and `dialer` are not owned and must outlive this object, which lives until the process ends.
class FleetView {
 public:
  FleetView(runtime::Runtime& runtime, BackendDialer& dialer, const SessionProxySettings& settings)
      : runtime_(runtime),
        dialer_(dialer),
        node_(settings.node),
        zone_(settings.zone),
        evacuated_(std::make_shared<EvacuatedZones>(settings.evacuation_bound)),
        regions_(settings.zone_regions),
        spans_regions_(regions_.spans_regions()),
        keys_confirmed_(settings.key_bound),
        limit_window_(settings.limit_window),
        cold_window_{kColdWindow, settings.cold_overshoot - 1, settings.cold_slack},
        limits_cold_backends_(settings.cold_overshoot > 0 || settings.cold_slack > 0),
        quotas_(settings.node),
        renewed_(runtime),
        document_changed_(runtime),
        started_(runtime.now()),
        return_steps_(started_) {}

  /// Applies the changes. When this returns, groups that the delta closes acknowledge nothing any more.
  void apply(const registry::FleetDelta& delta);
  /// Called when control has answered, after a quorum round, a report sent at `asked_at`: the copy was the
  /// newest one at that time and is valid until `until`. Both are times of this process's clock.
  /// `stable_revision`: no proxy acts on a membership older than this any more.
  void extend_lease(TimePoint asked_at, TimePoint until, std::uint64_t stable_revision);

  /// Called when control announces a stable revision without an answer to a report.
  void record_stable(std::uint64_t stable_revision) {
    quotas_.record_stable(stable_revision, runtime_.now());
  }
  [[nodiscard]] bool lease_valid() const { return runtime_.now() < lease_until_; }
  [[nodiscard]] TimePoint lease_until() const { return lease_until_; }
  /// Called when the group's members have granted a lease for the primary of `epoch`. The lease ends at
  /// `until`, and kServeWithoutControl after control's last lease at the latest.
  void extend_member_lease(GroupAccess& group, std::uint64_t epoch, std::uint64_t membership,
                           TimePoint until);
  /// Whether this proxy may use the group's primary, by control's lease or by one of the group's members.
  [[nodiscard]] bool holds_lease_for(const GroupAccess& group) const {
    return lease_valid() || group.leadership.has_member_lease();
  }
  /// Whether any group has a valid lease from its members.
  [[nodiscard]] bool has_member_lease() const;
  /// The steps of this proxy's return after its start.
  ReturnSteps& return_steps() { return return_steps_; }
  void record_step(ReturnStep step) { return_steps_.record(step, runtime_.now()); }
  /// Called when a control node has accepted a connection or answered anything.
  void record_control_heard() { control_heard_at_ = runtime_.now(); }
  /// Whether a lease is expected soon. `waits_longer`: the work may wait while control elects a leader.
  [[nodiscard]] bool expects_lease(bool waits_longer) const {
    const placement::LeaseSigns signs{started_, lease_until_, control_heard_at_};
    return waits_longer ? placement::is_lease_expected(signs, runtime_.now())
                        : placement::is_lease_due(signs, runtime_.now());
  }
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  [[nodiscard]] std::uint64_t document_version() const { return document_version_; }
  [[nodiscard]] Duration transaction_idle() const { return transaction_idle_; }
  /// Returns nullptr if no route names the database.
  [[nodiscard]] const registry::RouteRule* find_route(const DatabaseName& database) const;
  /// Whether callers must prove their tenant with a key, except on public routes.
  [[nodiscard]] bool requires_keys() const { return requires_keys_; }
  /// Whether callers of this route must prove their tenant with a key.
  [[nodiscard]] bool needs_key(const registry::RouteRule& route) const {
    return requires_keys_ && !route.is_public;
  }
  /// The regions in which statements of the route and tenant may run, by the current document. The result
  /// refers to data that lives as long as this view.
  [[nodiscard]] locality::PermittedRegions allowed_regions(const registry::RouteRule& route,
                                                           const TenantName& tenant) const;
  [[nodiscard]] const tenancy::TenantDirectory& tenants() const { return tenants_; }
  [[nodiscard]] const tenancy::KeyConfirmation& keys_confirmed() const { return keys_confirmed_; }
  [[nodiscard]] const EvacuatedZones& evacuated() const { return *evacuated_; }
  [[nodiscard]] const limits::LimitWindow& limit_window() const { return limit_window_; }
  /// Returns std::nullopt if there is no such tenant.
  [[nodiscard]] std::optional<limits::Limit> tenant_limit(const TenantName& tenant) const;
  /// The limit on statements to the backend while it is cold, whether or not it is cold now. Returns
  /// std::nullopt if the backend is unknown here or no limit applies to its group.
  [[nodiscard]] std::optional<limits::Limit> cold_limit(const BackendName& backend) const;
  /// The quotas that this proxy owns for tenants and cold backends, and the owners of all others.
  limits::QuotaLedger& quotas() { return quotas_; }
  [[nodiscard]] const NodeName& node() const { return node_; }
  [[nodiscard]] const ZoneName& zone() const { return zone_; }
  /// Returns nullptr if this proxy knows no registered backend of the name.
  [[nodiscard]] const registry::BackendEntry* find_backend(const BackendName& name) const;
  /// Returns nullptr if the group is unknown.
  std::shared_ptr<GroupAccess> find_group(const GroupName& group);
  [[nodiscard]] const std::map<GroupName, std::shared_ptr<GroupAccess>>& groups() const { return groups_; }
  /// The proxies to which statements for the group are forwarded, in order of preference. Empty if this proxy
  /// serves the group itself. Only a subset of the proxies serves a group, so that each has enough
  /// connections.
  [[nodiscard]] const std::vector<subset::ProxyPointer>& forwarding_targets(const GroupName& group);
  /// The same for the statements of one tenant, whose links to a backend are kept at few of the serving
  /// proxies of the backend's zone. Contains this proxy, behind others, if it serves the group but is not the
  /// first choice. Also empty for work at a primary while no primary may be used: such work waits at this
  /// proxy until the primary's zone is known. Without a tenant, work is placed by region if
  /// divides_by_region().
  [[nodiscard]] const std::vector<subset::ProxyPointer>& forwarding_targets(const GroupName& group,
                                                                            const TenantName& tenant,
                                                                            GroupWork work);
  /// Whether work is placed and links are divided by region: the settings name several regions and links
  /// belong to no tenant.
  [[nodiscard]] bool divides_by_region() const { return spans_regions_ && !requires_keys_; }
  /// The proxies that serve the group in the order of preference for the tenant's work in the zone: the
  /// owners of the zone's backends first.
  [[nodiscard]] std::vector<subset::ProxyPointer> order_for_tenant(const GroupName& group,
                                                                   const TenantName& tenant,
                                                                   const ZoneName& zone);
  /// For a group that this proxy serves, the other proxies that serve it, in order of preference.
  [[nodiscard]] const std::vector<subset::ProxyPointer>& also_serving(const GroupName& group);
  /// All other proxies that accept new work, those of this zone first.
  [[nodiscard]] const std::vector<subset::ProxyPointer>& other_proxies() const { return other_proxies_; }
  /// Filters `proxies` by the regions into which a statement's text may be sent. This proxy is never filtered
  /// out, since it already has the text.
  [[nodiscard]] std::vector<subset::ProxyPointer> filter_by_region(
      const std::vector<subset::ProxyPointer>& proxies, const locality::PermittedRegions& allowed) const;
  /// The acknowledgements of all closed groups, to be reported to control.
  [[nodiscard]] std::vector<registry::ClosedGroup> closed_groups() const;
  /// What this proxy has certainly acknowledged so far, in the latest open epoch of each group.
  [[nodiscard]] std::vector<registry::ClosedGroup> certainly_acknowledged() const;

  /// Whether statements may be sent to the primary of `epoch`, and its answers be passed on, at this moment.
  /// False once another incarnation has registered under the primary's name, and for another group's epoch.
  [[nodiscard]] bool may_use_primary(const GroupAccess& group, const registry::GroupEpoch& epoch) const {
    const bool is_same =
        group.term().open && group.epoch() == epoch && !group.backends.is_primary_restarted();
    return is_same && holds_lease_for(group);
  }
  /// Notified whenever control's lease or a lease of group members is extended.
  runtime::Signal& renewed() { return renewed_; }
  /// Notified when another document is in force.
  runtime::Signal& document_changed() { return document_changed_; }

 private:
  /// Cache key of a proxy order: whose statements run in which zone.
  struct TenantOrderKey {
    GroupName group;
    TenantName tenant;
    ZoneName zone;
  };
  /// Key by reference, for lookups that copy no string.
  using TenantOrderKeyView = std::tuple<const GroupName&, const TenantName&, const ZoneName&>;
  struct TenantOrderKeyLess {
    using is_transparent = void;
    static TenantOrderKeyView view(const TenantOrderKey& key) {
      return std::tie(key.group, key.tenant, key.zone);
    }
    static const TenantOrderKeyView& view(const TenantOrderKeyView& key) { return key; }
    bool operator()(const auto& one, const auto& other) const { return view(one) < view(other); }
  };

  std::shared_ptr<GroupAccess> get_or_create_group(const GroupName& group);
  /// The zone of the backends that do the tenant's work. Returns std::nullopt for work at a primary if this
  /// proxy holds a lease but no primary may be used.
  [[nodiscard]] std::optional<ZoneName> work_zone(const GroupName& group, const TenantName& tenant,
                                                  GroupWork work) const;
  /// The order for the group's work if it is placed by region.
  const std::vector<subset::ProxyPointer>& regional_targets(const GroupName& group, GroupWork work);
  /// The proxies that serve the group, `size` of those in the table.
  [[nodiscard]] std::vector<subset::ProxyPointer> select_serving(const GroupAccess& group,
                                                                 const subset::SubsetTable& table,
                                                                 std::size_t size) const;
  /// Divides the group's connections among the proxies that serve it.
  void share_connections(GroupAccess& group, const std::vector<subset::ProxyPointer>& serving) const;
  void apply_routes(const registry::FleetDelta& delta);
  void apply_backends(const registry::FleetDelta& delta);
  /// Returns the zones whose evacuation the delta ends.
  std::vector<ZoneName> apply_evacuations(const registry::FleetDelta& delta);
  /// The time from which evacuation orders in the current delta count: now under a lease, otherwise the end
  /// of the last lease, since the order may be that old. TimePoint::min() if there was never a lease.
  [[nodiscard]] TimePoint evacuation_known_since() const;
  void log_evacuation(const char* event, const ZoneName& zone, std::uint64_t revision);
  void apply_tenants(const registry::FleetDelta& delta);
  /// Whether any route or tenant restricts its statements to regions.
  [[nodiscard]] bool has_region_restrictions() const;
  /// Logs zones whose region is not configured and which every region list therefore excludes.
  void log_unknown_regions(const registry::FleetDelta& delta);
  void log_if_region_unknown(const ZoneName& zone);
  /// The proxies that the delta adds, changes or removes. Call before apply_proxies().
  [[nodiscard]] std::vector<subset::ProxyPointer> changed_proxies(const registry::FleetDelta& delta) const;
  /// The proxies that accept new work.
  [[nodiscard]] std::vector<subset::ProxyPointer> accepting_proxies() const;
  /// Owners of each tenant's limit: many if all proxies that accept new work spread limits.
  [[nodiscard]] std::size_t tenant_owners() const;
  void apply_proxies(const registry::FleetDelta& delta);
  /// Works out which proxies serve each group and how they share its connections.
  void divide_groups(const std::vector<subset::ProxyPointer>& accepting_proxies);
  /// Whether the delta may change which proxies serve a group or their shares of its connections. Of a
  /// backend, only its group, zone and slots matter. Call before apply_backends().
  [[nodiscard]] bool changes_division(const registry::FleetDelta& delta) const;

  runtime::Runtime& runtime_;
  BackendDialer& dialer_;
  NodeName node_;
  ZoneName zone_;
  std::shared_ptr<EvacuatedZones> evacuated_;
  const locality::RegionMap regions_;
  const bool spans_regions_;
  bool requires_keys_ = false;
  /// The current delta toggled requires_keys, which changes how links are divided.
  bool requires_keys_changed_ = false;
  tenancy::TenantDirectory tenants_;
  tenancy::KeyConfirmation keys_confirmed_;
  limits::LimitWindow limit_window_;
  limits::LimitWindow cold_window_;
  bool limits_cold_backends_;  ///< statements to cold backends are rate limited
  limits::QuotaLedger quotas_;
  runtime::Signal renewed_;
  runtime::Signal document_changed_;
  TimePoint started_;
  ReturnSteps return_steps_;
  TimePoint lease_until_{};
  TimePoint control_heard_at_{};
  std::uint64_t revision_ = 0;
  std::uint64_t document_version_ = 0;
  Duration transaction_idle_{0};
  std::map<registry::RouteKey, registry::RouteRule> routes_;
  bool routes_restrict_regions_ = false;
  std::set<ZoneName> logged_zones_;  ///< zones already logged as having no known region
  /// The route of each database; of several the one whose path prefix sorts first.
  std::map<DatabaseName, registry::RouteKey> by_database_;
  std::map<GroupName, std::shared_ptr<GroupAccess>> groups_;
  std::map<BackendName, GroupName> group_of_;
  std::map<NodeName, registry::AdmittedProxy> proxies_;
  std::map<GroupName, std::vector<subset::ProxyPointer>> forwarding_targets_;
  std::map<GroupName, std::vector<subset::ProxyPointer>> also_serving_;
  std::map<GroupName, std::vector<subset::ProxyPointer>> serving_;  ///< includes this proxy where it serves
  /// Computed on demand from `serving_` and the tenants' limits. Without a tenant: the order for work in the
  /// zone.
  std::map<TenantOrderKey, std::vector<subset::ProxyPointer>, TenantOrderKeyLess> tenant_forwarding_targets_;
  std::vector<subset::ProxyPointer> other_proxies_;
};

}  // namespace cairnhollow::registered::proxy
