// Provides the readiness state and the metrics of a control node.
#pragma once

#include <functional>

#include "declared/control/failover/group_supervision.h"
#include "declared/control/follow/follow_server.h"
#include "declared/control/operator/operator_sources.h"
#include "runtime/metrics.h"

namespace cairnhollow::declared::control {

/// Objects passed by reference must outlive this object.
class NodeHealth : public NodeHealthSource {
 public:
  /// `connected` returns whether the node is connected to a quorum, and otherwise sets the reason;
  /// `add_metrics` adds the metrics specific to this kind of node.
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
