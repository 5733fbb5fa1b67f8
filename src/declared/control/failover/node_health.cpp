#include "declared/control/failover/node_health.h"

namespace cairnhollow::declared::control {

NodeHealth::NodeHealth(runtime::Runtime& runtime, const ConfigView& configuration,
                       const FollowServer& followers, const GroupSupervision& groups,
                       std::function<bool(Reason&)> connected,
                       std::function<void(runtime::Metrics&)> add_metrics)
    : runtime_(runtime),
      configuration_(configuration),
      followers_(followers),
      groups_(groups),
      connected_(std::move(connected)),
      add_metrics_(std::move(add_metrics)) {}

bool NodeHealth::ready(Reason& reason) const {
  if (stopping_) {
    reason = Reason{ReasonCode::kDraining, "ready", "", "the control node is stopping"};
    return false;
  }
  if (!started_) {
    reason = Reason{ReasonCode::kCancelled, "ready", "", "the control node is starting"};
    return false;
  }
  return connected_(reason);
}

std::string NodeHealth::metrics_text() const {
  // Collected from the components at each scrape: they keep the counters anyway, and a control node has few
  // series.
  runtime::Metrics metrics;
  const auto gauge = [&](const char* name, const char* help, std::uint64_t value) {
    metrics.gauge(name, help).Set(static_cast<double>(value));
  };
  const auto counter = [&](const char* name, const char* help, std::uint64_t value) {
    metrics.counter(name, help).Increment(static_cast<double>(value));
  };
  gauge("cairnhollow_control_config_revision", "Configuration revision applied here.",
        configuration_.revision());
  const FollowServerStatistics& follow = followers_.statistics();
  gauge("cairnhollow_control_follower_connections", "Open follow connections.", followers_.connections());
  gauge("cairnhollow_control_followers_serving", "Proxies with a serving lease given here.",
        followers_.registry().serving(runtime_.now()));
  counter("cairnhollow_control_follow_questions_total", "Questions of followers.", follow.requests);
  counter("cairnhollow_control_follow_answers_total", "Leases given to followers.", follow.answers);
  counter("cairnhollow_control_follow_refusals_total", "Questions refused for want of a quorum.",
          follow.refusals);
  counter("cairnhollow_control_follow_quorum_rounds_total", "Quorum rounds run for followers.",
          follow.quorum_rounds);
  const MonitorStatistics monitors = groups_.statistics();
  gauge("cairnhollow_control_groups_watched", "Database groups probed by this node.", groups_.watched());
  gauge("cairnhollow_control_groups_supervised", "Database groups whose failovers this node runs.",
        groups_.supervised());
  counter("cairnhollow_control_failovers_total", "Primaries promoted by this node.", monitors.failovers);
  counter("cairnhollow_control_failover_failures_total", "Attempts to promote that failed.",
          monitors.failed_attempts);
  add_metrics_(metrics);
  return metrics.render();
}

}  // namespace cairnhollow::declared::control
