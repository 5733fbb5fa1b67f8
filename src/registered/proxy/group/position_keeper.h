// Keeps what this proxy knows of primaries' logs young enough for reads at replicas. Where tenants' writes
// run at proxies of the primary's zone, the others see no answers of it, and each of their reads that renews
// what is known would open a link for its tenant there.
#pragma once

#include <memory>
#include <set>

#include "registered/proxy/fleet/fleet_view.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::proxy {

/// What it refers to outlives it; it lives until the process ends.
class PositionKeeper {
 public:
  PositionKeeper(runtime::Runtime& runtime, FleetView& view) : runtime_(runtime), view_(view) {}

  void start();
  void stop() { stopping_ = true; }

 private:
  Awaitable<void> run();
  void ask_where_due();
  /// Asks the group's primary, on any link, where its log is.
  Awaitable<void> ask(std::shared_ptr<GroupAccess> group, std::shared_ptr<BackendUse> primary);

  runtime::Runtime& runtime_;
  FleetView& view_;
  std::set<GroupName> asking_;
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::proxy
