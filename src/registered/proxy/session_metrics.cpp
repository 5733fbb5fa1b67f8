#include "registered/proxy/session_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

namespace cairnhollow::registered::proxy {

namespace {

constexpr std::array<const char*, kAdmissionOutcomes> kAdmissionLabels{
    "admitted", "over_limit", "owner_not_authorized", "no_owner_reached"};
constexpr std::array<const char*, 3> kServedByLabels{"proxy", "primary", "replica"};

}  // namespace

const char* admission_outcome_name(AdmissionOutcome outcome) {
  return kAdmissionLabels[static_cast<std::size_t>(outcome)];
}

SessionMetrics::SessionMetrics()
    : gate_running_(metrics_.gauge("cairnhollow_session_gate_running",
                                   "Statements that hold a slot at a backend's gate.")),
      gate_waiting_(metrics_.gauge("cairnhollow_session_gate_waiting",
                                   "Statements that wait for a slot or a link at a backend's gate.")),
      link_load_(metrics_.gauge("cairnhollow_session_link_load", "Used part of the machine's network link")),
      refused_classes_(metrics_.gauge("cairnhollow_session_refused_classes",
                                      "Classes refused since the machine is overloaded, from the lowest")),
      lost_answers_(metrics_.counter("cairnhollow_session_lost_answers_total",
                                     "Statements sent to a backend that did not answer.")),
      token_requests_(metrics_.counter("cairnhollow_session_token_questions_total",
                                       "Token requests sent to other proxies.")),
      evacuated_transactions_(
          metrics_.counter("cairnhollow_session_evacuated_transactions_total",
                           "Transactions aborted because their backend's zone is evacuated.")),
      evacuated_zones_(metrics_.gauge("cairnhollow_session_evacuated_zones",
                                      "Evacuated zones, to which this proxy sends no new work.")),
      sessions_(metrics_.gauge("cairnhollow_session_open", "Open sessions.")),
      lease_valid_(metrics_.gauge("cairnhollow_session_lease_valid",
                                  "1 while the proxy holds a serving lease, otherwise 0.")),
      member_leases_(
          metrics_.gauge("cairnhollow_session_member_leases",
                         "Groups served under leases of their members while control is unreachable.")),
      owned_backends_(metrics_.gauge("cairnhollow_session_owned_backends",
                                     "Backends whose slots this proxy divides with other owners.")),
      owned_capacity_(metrics_.gauge("cairnhollow_session_owned_capacity",
                                     "Statements that may run at the owned backends at once.")),
      owned_running_(
          metrics_.gauge("cairnhollow_session_owned_running", "Statements at the owned backends.")),
      owned_waiting_(metrics_.gauge("cairnhollow_session_owned_waiting",
                                    "Statements that wait for the owned backends.")) {
  for (std::size_t served_by = 0; served_by < kServedByLabels.size(); ++served_by) {
    const runtime::MetricLabels labels{{"by", kServedByLabels[served_by]}};
    served_[served_by] =
        &metrics_.counter("cairnhollow_session_served_total", "Statements answered successfully.", labels);
    latency_[served_by] = &metrics_.histogram("cairnhollow_session_latency_seconds",
                                              "Time from a statement's arrival to its answer, in seconds.",
                                              runtime::latency_buckets_seconds(), labels);
  }
  for (std::size_t cause = 0; cause < placement::kForwardCauseCount; ++cause) {
    forwarded_[cause] = &metrics_.counter(
        "cairnhollow_session_forwarded_total", "Statements forwarded to another proxy.",
        {{"cause", placement::forward_cause_name(static_cast<placement::ForwardCause>(cause))}});
  }
  for (std::size_t rejection = 0; rejection < placement::kRejectionReasonCount; ++rejection) {
    unplaced_[rejection] = &metrics_.counter(
        "cairnhollow_session_unplaced_total", "Refused statements and ended transactions.",
        {{"since", placement::rejection_name(static_cast<placement::RejectionReason>(rejection))}});
  }
  for (std::size_t fault = 0; fault < registry::kRegistrationFaults; ++fault) {
    const auto cause = registry::registration_fault_name(static_cast<registry::RegistrationFault>(fault));
    registrations_refused_[fault] =
        &metrics_.counter("cairnhollow_session_registrations_refused_total", "Refused backend registrations.",
                          {{"cause", std::string(cause)}});
  }
  for (std::size_t outcome = 0; outcome < kAdmissionLabels.size(); ++outcome) {
    cold_statements_[outcome] =
        &metrics_.counter("cairnhollow_session_cold_statements_total",
                          "Requests for a token to send a statement to a cold backend.",
                          {{"outcome", kAdmissionLabels[outcome]}});
  }
  register_gate_metrics();
  for (std::size_t code = 0; code < kRefusalCount; ++code) {
    const runtime::MetricLabels labels{{"reason", refusal_name(static_cast<Refusal>(code))}};
    refused_[code] =
        &metrics_.counter("cairnhollow_session_refused_total", "Statements answered with a refusal.", labels);
    retries_[code] = &metrics_.counter("cairnhollow_session_retries_total",
                                       "Attempts refused by a backend and retried.", labels);
  }
}

void SessionMetrics::register_gate_metrics() {
  for (std::size_t demand_class = 0; demand_class < scheduling::kDemandClasses; ++demand_class) {
    const std::string label = std::to_string(demand_class);
    gate_wait_[demand_class] =
        &metrics_.histogram("cairnhollow_session_gate_wait_seconds",
                            "Time that admitted statements waited at a gate, in seconds.",
                            runtime::latency_buckets_seconds(), {{"class", label}});
    for (std::size_t verdict = 0; verdict < kGateVerdicts; ++verdict) {
      if (static_cast<GateVerdict>(verdict) == GateVerdict::kAdmitted) continue;
      gate_refused_[demand_class][verdict] = &metrics_.counter(
          "cairnhollow_session_gate_refused_total", "Statements that a backend's gate refused.",
          {{"class", label}, {"reason", gate_verdict_name(static_cast<GateVerdict>(verdict))}});
    }
  }
}

void SessionMetrics::record_gate(const scheduling::SlotRequest& request, const GateOutcome& outcome) {
  const std::size_t demand_class = scheduling::demand_class(request);
  if (outcome.admitted())
    return gate_wait_[demand_class]->Observe(std::chrono::duration<double>(outcome.waited).count());
  gate_refused_[demand_class][static_cast<std::size_t>(outcome.verdict)]->Increment();
}

void SessionMetrics::count_served(ServedBy by, Duration took) {
  const auto served_by = static_cast<std::size_t>(by);
  served_[served_by]->Increment();
  latency_[served_by]->Observe(std::chrono::duration<double>(took).count());
}

void SessionMetrics::count_admission(const std::string& label, AdmissionOutcome outcome) {
  prometheus::Counter*& counter = admissions_[{label, outcome}];
  if (counter == nullptr) {
    counter = &metrics_.counter("cairnhollow_session_tenant_operations_total",
                                "Tenant operations that requested admission.",
                                {{"tenant", label}, {"outcome", admission_outcome_name(outcome)}});
  }
  counter->Increment();
}

void SessionMetrics::set_owned_backends(const OwnedBackends& owned) {
  owned_backends_.Set(static_cast<double>(owned.count));
  owned_capacity_.Set(static_cast<double>(owned.capacity));
  owned_running_.Set(static_cast<double>(owned.running));
  owned_waiting_.Set(static_cast<double>(owned.waiting));
}

void SessionMetrics::count_refused(Refusal refusal) {
  refused_[static_cast<std::size_t>(refusal)]->Increment();
}

}  // namespace cairnhollow::registered::proxy
