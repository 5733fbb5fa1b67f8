#include "declared/proxy/proxy_metrics.h"

namespace cairnhollow::declared::proxy {

namespace {

constexpr std::array<const char*, kCallKindCount> kKindNames = {"read", "write", "transaction", "commit",
                                                                "resolve"};
constexpr const char* kReadsName = "cairnhollow_proxy_reads_total";
constexpr const char* kReadsHelp = "Completed reads, by the role of the backend that served them.";

runtime::MetricLabels labels_of(const DomainName& domain, runtime::MetricLabels labels = {}) {
  if (!domain.empty()) labels["domain"] = domain.value;
  return labels;
}

std::string run_state_name(http::RunState run_state) {
  return run_state == http::RunState::kNotRun ? "not_run" : "unknown";
}

}  // namespace

ProxyMetrics::ProxyMetrics()
    : replica_reads_(metrics_.counter(kReadsName, kReadsHelp, {{"served_by", "replica"}})),
      primary_reads_(metrics_.counter(kReadsName, kReadsHelp, {{"served_by", "primary"}})) {
  for (std::size_t index = 1; index < routing::kPrimaryReadCauses; ++index) {
    const auto cause = static_cast<routing::PrimaryReadCause>(index);
    primary_reads_by_cause_[index] =
        &metrics_.counter("cairnhollow_proxy_primary_reads_total", "Reads served by the primary, by cause.",
                          {{"reason", std::string(routing::primary_read_cause_name(cause))}});
  }
  for (std::size_t index = 0; index < kCallKindCount; ++index) {
    const std::string kind = kKindNames[index];
    const auto count = [&](const char* outcome) {
      return &metrics_.counter("cairnhollow_proxy_statements_total", "Answered statements, by outcome.",
                               {{"kind", kind}, {"outcome", outcome}});
    };
    kind_metrics_[index].done = count("done");
    kind_metrics_[index].not_run = count("not_run");
    kind_metrics_[index].unknown = count("unknown");
    kind_metrics_[index].seconds = &metrics_.histogram("cairnhollow_proxy_statement_seconds",
                                                       "Time from a request's arrival to its answer.",
                                                       runtime::latency_buckets_seconds(), {{"kind", kind}});
  }
}

void ProxyMetrics::answered(CallKind kind, Duration elapsed, const Outcome& outcome) {
  auto& kind_metrics = kind_metrics_[static_cast<std::size_t>(kind)];
  kind_metrics.seconds->Observe(std::chrono::duration<double>(elapsed).count());
  if (const auto* done = std::get_if<Done>(&outcome)) {
    kind_metrics.done->Increment();
    if (kind == CallKind::kRead) read_done(*done);
    return;
  }
  const auto& refusal = std::get<Refused>(outcome);
  (refusal.run_state == http::RunState::kNotRun ? kind_metrics.not_run : kind_metrics.unknown)->Increment();
  refused(refusal);
}

void ProxyMetrics::read_done(const Done& done) {
  (done.backend_is_primary ? primary_reads_ : replica_reads_).Increment();
  auto* by_cause = primary_reads_by_cause_[static_cast<std::size_t>(done.primary_read)];
  if (done.backend_is_primary && by_cause != nullptr) by_cause->Increment();
}

void ProxyMetrics::refused(const Refused& refused) {
  metrics_
      .counter("cairnhollow_proxy_refusals_total", "Refusals, by reason.",
               {{"code", std::string(reason_code_name(refused.reason.code))},
                {"outcome", run_state_name(refused.run_state)}})
      .Increment();
}

std::string ProxyMetrics::render(const ProxyGauges& gauges) {
  metrics_.gauge("cairnhollow_proxy_requests_in_flight", "Caller requests in progress.")
      .Set(static_cast<double>(gauges.requests_in_flight));
  for (const auto& domain : gauges.domains) set_domain(domain);
  return metrics_.render();
}

void ProxyMetrics::set_domain(const DomainGauges& gauges) {
  const auto labels = labels_of(gauges.domain);
  const auto set = [&](const char* name, const char* help, double value) {
    metrics_.gauge(name, help, labels).Set(value);
  };
  set("cairnhollow_proxy_transactions_open", "Transactions begun at this proxy and not yet ended.",
      static_cast<double>(gauges.transactions_open));
  set("cairnhollow_proxy_retries_left", "Whole retries that the budget allows now.", gauges.retries_left);
  set("cairnhollow_proxy_waiting_for_change", "Requests that wait for a change, e.g. a new primary.",
      static_cast<double>(gauges.waiting_for_change));
  set("cairnhollow_proxy_reads_held", "Reads held until a replica has their session's position.",
      static_cast<double>(gauges.reads_held));
  set("cairnhollow_proxy_configuration_revision", "Revision of the routing view in use.",
      static_cast<double>(gauges.revision));
  set("cairnhollow_proxy_lease_valid", "1 while new work may be accepted.", gauges.lease_valid ? 1 : 0);
  set_counter("cairnhollow_proxy_follow_moves_total", "Times that another control node was tried.", labels,
              gauges.follow_moves);
  set("cairnhollow_proxy_hop_connections", "Connections to other proxies, including idle ones.",
      static_cast<double>(gauges.hop_connections));
  set_forwards(gauges.domain, gauges.forwards);
  for (const auto& [backend, statistics] : gauges.admissions)
    set_admission(gauges.domain, backend, statistics);
}

void ProxyMetrics::set_counter(const std::string& name, const std::string& help,
                               const runtime::MetricLabels& labels, std::uint64_t value) {
  auto& counter = metrics_.counter(name, help, labels);
  counter.Increment(static_cast<double>(value) - counter.Value());
}

void ProxyMetrics::set_forwards(const DomainName& domain, const ForwardStatistics& statistics) {
  const auto count = [&](const char* result, std::uint64_t value) {
    set_counter("cairnhollow_proxy_forwards_total",
                "Calls forwarded to proxies that serve the group, by result.",
                labels_of(domain, {{"result", result}}), value);
  };
  count("answered", statistics.answered);
  count("declined", statistics.declined);
  count("unreachable", statistics.unreachable);
  count("unanswered", statistics.unanswered);
  count("resolved", statistics.resolved);
  count("unknown", statistics.unknown);
  count("refused", statistics.refused);
}

void ProxyMetrics::set_admission(const DomainName& domain, const BackendName& backend,
                                 const backend::AdmissionStatistics& statistics) {
  const auto labels = labels_of(domain, {{"backend", backend.value}});
  const auto set = [&](const char* name, const char* help, double value) {
    metrics_.gauge(name, help, labels).Set(value);
  };
  set("cairnhollow_proxy_backend_running", "Statements and transactions at the backend now.",
      statistics.running);
  set("cairnhollow_proxy_backend_limit", "Current limit on statements and transactions at the backend.",
      statistics.limit);
  set("cairnhollow_proxy_backend_connections", "Connections held to the backend, including idle ones.",
      statistics.connections);
  set("cairnhollow_proxy_backend_waiting", "Statements that wait for admission to the backend.",
      static_cast<double>(statistics.waiting));
  set_counter("cairnhollow_proxy_backend_admitted_total", "Statements and transactions admitted.", labels,
              statistics.admitted);
  set_counter("cairnhollow_proxy_backend_busy_total", "Answers that report the backend as busy.", labels,
              statistics.busy_answers);
  const auto shed = [&](const char* cause, std::uint64_t value) {
    set_counter("cairnhollow_proxy_backend_shed_total", "Refused admissions, by cause.",
                labels_of(domain, {{"backend", backend.value}, {"cause", cause}}), value);
  };
  shed("early", statistics.refused_early);
  shed("timed_out", statistics.timed_out);
  shed("unreachable", statistics.unreachable);
}

}  // namespace cairnhollow::declared::proxy
