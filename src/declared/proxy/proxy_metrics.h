// Metrics of the proxy (docs/METRICS.md). In a proxy with named domains all metrics except the statements,
// reads, refusals and requests in flight also carry the label `domain`. All names begin with
// `cairnhollow_proxy_`:
//
//   statements_total{kind,outcome}     answered statements; outcome: done, not_run, unknown
//   refusals_total{code,outcome}       refusals by reason
//   reads_total{served_by}             completed reads; served_by: replica, primary
//   primary_reads_total{reason}        reads served by the primary, by cause
//   statement_seconds{kind}            time from a request's arrival to its answer
//   requests_in_flight                 caller requests in progress
//   transactions_open                  transactions begun at this proxy and not yet ended
//   retries_left                       whole retries that the budget allows now
//   waiting_for_change                 requests that wait for a change, e.g. a new primary
//   reads_held                         reads held until a replica has their position
//   configuration_revision             revision of the routing view in use
//   lease_valid                        1 while new work may be accepted
//   follow_moves_total                 times that another control node was tried
//   forwards_total{result}             calls forwarded to serving proxies; result:
//                                      answered, declined, unreachable, unanswered,
//                                      resolved, unknown, refused
//   hop_connections                    connections to other proxies, including idle ones
//   backend_running{backend}           statements and transactions at the backend now
//   backend_limit{backend}             adaptive limit on concurrent statements
//   backend_connections{backend}       connections held, including idle ones
//   backend_waiting{backend}           statements that wait for admission
//   backend_admitted_total{backend}    statements and transactions admitted
//   backend_shed_total{backend,cause}  refused admissions; cause: early, timed_out,
//                                      unreachable
//   backend_busy_total{backend}        answers that report the backend as busy
#pragma once

#include <array>

#include "declared/backend/backend_admission.h"
#include "declared/proxy/forwarding/forwarder.h"
#include "declared/proxy/statement/statement.h"
#include "runtime/metrics.h"

namespace cairnhollow::declared::proxy {

/// The kinds of call that statements are counted by.
enum class CallKind : std::uint8_t { kRead, kWrite, kTransaction, kCommit, kResolve };
inline constexpr std::size_t kCallKindCount = 5;

/// Values sampled when metrics are rendered.
/// Gauges of one domain; if the domain has a name, they carry it as the label `domain`.
struct DomainGauges {
  DomainName domain;
  std::size_t transactions_open = 0;
  double retries_left = 0;
  std::size_t waiting_for_change = 0;
  std::size_t reads_held = 0;
  std::uint64_t revision = 0;
  bool lease_valid = false;
  std::uint64_t follow_moves = 0;
  ForwardStatistics forwards;
  std::size_t hop_connections = 0;
  std::map<BackendName, backend::AdmissionStatistics> admissions;
};

struct ProxyGauges {
  std::size_t requests_in_flight = 0;
  std::vector<DomainGauges> domains;
};

class ProxyMetrics {
 public:
  ProxyMetrics();

  void answered(CallKind kind, Duration elapsed, const Outcome& outcome);
  void refused(const Refused& refused);
  /// Renders the Prometheus text format.
  [[nodiscard]] std::string render(const ProxyGauges& gauges);

 private:
  struct KindMetrics {
    prometheus::Counter* done = nullptr;
    prometheus::Counter* not_run = nullptr;
    prometheus::Counter* unknown = nullptr;
    prometheus::Histogram* seconds = nullptr;
  };

  void read_done(const Done& done);
  void set_counter(const std::string& name, const std::string& help, const runtime::MetricLabels& labels,
                   std::uint64_t value);
  void set_domain(const DomainGauges& gauges);
  void set_forwards(const DomainName& domain, const ForwardStatistics& statistics);
  void set_admission(const DomainName& domain, const BackendName& backend,
                     const backend::AdmissionStatistics& statistics);

  runtime::Metrics metrics_;
  std::array<KindMetrics, kCallKindCount> kind_metrics_;
  prometheus::Counter& replica_reads_;
  prometheus::Counter& primary_reads_;
  std::array<prometheus::Counter*, routing::kPrimaryReadCauses> primary_reads_by_cause_{};
};

}  // namespace cairnhollow::declared::proxy
