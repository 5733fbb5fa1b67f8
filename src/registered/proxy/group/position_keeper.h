// Keeps the known log positions of primaries recent enough for reads at replicas. Where writes of tenants run
// at proxies in the primary's zone, other proxies see no answers of the primary, and each read that refreshed
// the position there would open a link for its tenant.
#pragma once

#include <memory>
#include <set>

#include "registered/proxy/fleet/fleet_view.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::proxy {

/// Must live until the process ends. References are not owned and must outlive this object.
class PositionKeeper {
 public:
  PositionKeeper(runtime::Runtime& runtime, FleetView& view) : runtime_(runtime), view_(view) {}

  void start();
  void stop() { stopping_ = true; }

 private:
  Awaitable<void> run();
  void ask_where_due();
  /// Queries the log position of the group's primary over a link of any tenant.
  Awaitable<void> ask(std::shared_ptr<GroupAccess> group, std::shared_ptr<BackendUse> primary);

  runtime::Runtime& runtime_;
  FleetView& view_;
  std::set<GroupName> asking_;
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::proxy
