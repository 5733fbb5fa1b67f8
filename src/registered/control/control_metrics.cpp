#include "registered/control/control_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include "runtime/metrics.h"

namespace cairnhollow::registered::control {

namespace {

constexpr unsigned kNotFound = 404;

}  // namespace

std::string ControlMetrics::render() const {
  runtime::Metrics metrics;
  const auto gauge = [&](const char* name, const char* help, std::uint64_t value) {
    metrics.gauge(name, help).Set(static_cast<double>(value));
  };
  const consensus::ConsensusStatus status = consensus_.status();
  std::uint64_t open_groups = 0;
  for (const auto& group : fleet_.groups()) {
    const registry::GroupTerm* term = fleet_.find_term(group.name);
    if (term != nullptr && term->open) ++open_groups;
  }
  const bool leads = status.state == consensus::ServerState::kLeader;
  gauge("cairnhollow_registry_is_leader", "1 if this node is the consensus leader, else 0.", leads ? 1 : 0);
  gauge("cairnhollow_registry_consensus_term", "Current term of the consensus group.", status.term);
  gauge("cairnhollow_registry_applied_index", "Index of the last applied log entry.", status.applied_index);
  gauge("cairnhollow_registry_document_version", "Version of the configuration document held.",
        fleet_.document_version());
  gauge("cairnhollow_registry_revision", "Revision of the applied fleet state.", fleet_.revision());
  gauge("cairnhollow_registry_groups", "Database groups in the configuration document.",
        fleet_.groups().size());
  gauge("cairnhollow_registry_groups_open", "Open database groups, whose primary may be used.", open_groups);
  gauge("cairnhollow_registry_backends", "Registered backends.", fleet_.backends().size());
  gauge("cairnhollow_registry_departed_members",
        "Former members of groups whose logs no other member is known to hold.", fleet_.departed().size());
  gauge("cairnhollow_registry_proxies", "Admitted proxies, which may hold a lease.", fleet_.proxies().size());
  gauge("cairnhollow_registry_followers", "Proxies connected to this node.", leases_.followers());
  for (std::size_t place = 0; place < registry::kRegistrationFaults; ++place) {
    const auto fault = static_cast<registry::RegistrationFault>(place);
    const std::string cause(registry::registration_fault_name(fault));
    metrics
        .counter("cairnhollow_registry_registrations_refused_total",
                 "Refused backend registrations, by cause.", {{"cause", cause}})
        .Increment(static_cast<double>(registrations_.refused().of(fault)));
  }
  const auto counter = [&](const char* name, const char* help, std::uint64_t value) {
    metrics.counter(name, help).Increment(static_cast<double>(value));
  };
  const RegistrationCounts& counts = registrations_.counts();
  counter("cairnhollow_registry_registrations_outdated_total",
          "Ignored registrations of outdated backend incarnations.", counts.outdated);
  counter("cairnhollow_registry_incarnations_replaced_total",
          "Registrations that replaced another incarnation of the same backend.", counts.replaced);
  counter("cairnhollow_registry_unproved_promotions_total",
          "Promotions after which acknowledged commits may be missing.", groups_.unproved_promotions());
  gauge("cairnhollow_registry_unsettled_promotions",
        "Recorded promotion requests that may still take effect.", fleet_.unsettled_promotions().size());
  gauge("cairnhollow_registry_promotions_in_progress",
        "Promotion requests of this process without an outcome.", groups_.promotion_requests().in_progress());
  for (std::size_t outcome = 0; outcome < kPromotionOutcomes; ++outcome) {
    const auto kind = static_cast<registry::PromotionOutcome>(outcome);
    metrics
        .counter("cairnhollow_registry_promotion_requests_total",
                 "Promotion requests of this node, by outcome.", {{"outcome", outcome_name(kind)}})
        .Increment(static_cast<double>(groups_.promotion_requests().count(kind)));
  }
  gauge("cairnhollow_registry_evacuated_zones", "Zones with an evacuation in effect.",
        fleet_.evacuations().size());
  for (std::size_t outcome = 0; outcome < kOrderOutcomes; ++outcome) {
    const auto kind = static_cast<OrderOutcome>(outcome);
    metrics
        .counter("cairnhollow_registry_evacuation_orders_total",
                 "Evacuation orders answered by this node, by outcome.", {{"outcome", outcome_name(kind)}})
        .Increment(static_cast<double>(registrations_.evacuations().count(kind)));
  }
  return metrics.render();
}

Awaitable<runtime::HttpResponse> ControlMetrics::handle(runtime::HttpRequest request,
                                                        runtime::HttpConnectionId /*connection*/) {
  runtime::HttpResponse response;
  if (request.target == "/metrics") {
    response.headers.fields["content-type"] = runtime::kMetricsContentType;
    response.body = render();
  } else {
    response.status = kNotFound;
  }
  co_return response;
}

}  // namespace cairnhollow::registered::control
