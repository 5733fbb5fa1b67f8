// Keeps the known log positions of primaries recent enough for reads at replicas. Where writes run at proxies
// in the primary's zone or region, other proxies see no answers of the primary, and each read that refreshed
// the position there would open a link for its tenant or cross between regions.
#pragma once

#include <memory>
#include <set>

#include "registered/proxy/fleet/fleet_view.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::proxy {

/// Must live until the process ends. References are not owned and must outlive this object.
class PositionRefresher {
 public:
  PositionRefresher(runtime::Runtime& runtime, FleetView& view) : runtime_(runtime), view_(view) {}

  void start();
  void stop() { stopping_ = true; }

 private:
  Awaitable<void> run();
  void query_due_groups();
  /// Queries the log position of the group's primary over a link of any tenant.
  Awaitable<void> query_primary(std::shared_ptr<GroupAccess> group, std::shared_ptr<BackendState> primary);

  runtime::Runtime& runtime_;
  FleetView& view_;
  std::set<GroupName> queried_groups_;
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::proxy
