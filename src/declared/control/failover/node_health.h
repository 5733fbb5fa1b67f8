// Readiness and metrics of a control node.
#pragma once

#include <functional>

#include "declared/control/failover/group_supervision.h"
#include "declared/control/follow/follow_server.h"
#include "declared/control/operator/operator_sources.h"
#include "runtime/metrics.h"

namespace cairnhollow::declared::control {

/// What it refers to outlives it.
class NodeHealth : public NodeHealthSource {
 public:
  /// `connected` says whether the node has its part in a quorum, and why not; `add_metrics` adds what only
  /// this kind of node has.
  NodeHealth(runtime::Runtime& runtime, const ConfigView& configuration, const FollowServer& followers,
             const GroupSupervision& groups, std::function<bool(Reason&)> connected,
             std::function<void(runtime::Metrics&)> add_metrics);

  void set_started() { started_ = true; }
  void set_stopping() { stopping_ = true; }

  [[nodiscard]] bool ready(Reason& reason) const override;
  [[nodiscard]] std::string metrics_text() const override;

 private:
  runtime::Runtime& runtime_;
  const ConfigView& configuration_;
  const FollowServer& followers_;
  const GroupSupervision& groups_;
  std::function<bool(Reason&)> connected_;
  std::function<void(runtime::Metrics&)> add_metrics_;
  bool started_ = false;
  bool stopping_ = false;
};

}  // namespace cairnhollow::declared::control
