// The proxy's metrics (docs/METRICS.md). Where domains are named, all but the statements, reads, refusals and
// requests in flight carry the label `domain` too:
//
//   cairnhollow_proxy_statements_total{kind,outcome}     answered statements; outcome: done, not_run, unknown
//   cairnhollow_proxy_refusals_total{code,outcome}       refusals by reason
//   cairnhollow_proxy_reads_total{served_by}             reads done; served_by: replica, primary
//   cairnhollow_proxy_primary_reads_total{reason}        reads done on the primary, by why
//   cairnhollow_proxy_statement_seconds{kind}            from the request's arrival to its answer
//   cairnhollow_proxy_requests_in_flight                 caller requests being served
//   cairnhollow_proxy_transactions_open                  transactions begun here and not ended
//   cairnhollow_proxy_retries_left                       whole retries that the budget allows now
//   cairnhollow_proxy_waiting_for_change                 requests that wait for news, e.g. of a new primary
//   cairnhollow_proxy_reads_held                         reads held until a replica has their position
//   cairnhollow_proxy_configuration_revision             revision of the routing view in force
//   cairnhollow_proxy_lease_valid                        1 while new work may be taken
//   cairnhollow_proxy_follow_moves_total                 times that another control node was tried
//   cairnhollow_proxy_forwards_total{result}             hops to proxies that serve the group; result:
//   answered,
//                                                        declined, unreachable, unanswered, resolved,
//                                                        unknown, refused
//   cairnhollow_proxy_hop_connections                    connections to other proxies
//   cairnhollow_proxy_backend_running{backend}           statements and transactions at the backend now
//   cairnhollow_proxy_backend_limit{backend}             how many of them may run at once (adapts itself)
//   cairnhollow_proxy_backend_connections{backend}       connections held to it, idle ones included
//   cairnhollow_proxy_backend_waiting{backend}           statements that wait for admission to the backend
//   cairnhollow_proxy_backend_admitted_total{backend}    statements and transactions admitted
//   cairnhollow_proxy_backend_shed_total{backend,cause}  refused admission; cause: early, timed_out,
//   unreachable cairnhollow_proxy_backend_busy_total{backend}        answers by which the backend said that
//   it is busy
#pragma once

#include <array>

#include "declared/backend/backend_admission.h"
#include "declared/proxy/forwarding/forwarder.h"
#include "declared/proxy/statement/statement.h"
#include "runtime/metrics.h"

namespace cairnhollow::declared::proxy {

/// What is counted by the kind of call.
enum class CallKind : std::uint8_t { kRead, kWrite, kTransaction, kCommit, kResolve };
inline constexpr std::size_t kCallKinds = 5;

/// Values read when a scraper asks.
/// Of one domain; where it has a name, they carry it as the label `domain`.
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

  void answered(CallKind kind, Duration took, const Outcome& outcome);
  void refused(const Refused& refused);
  /// Prometheus text format.
  [[nodiscard]] std::string render(const ProxyGauges& gauges);

 private:
  struct PerKind {
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
  std::array<PerKind, kCallKinds> kinds_;
  prometheus::Counter& replica_reads_;
  prometheus::Counter& primary_reads_;
  std::array<prometheus::Counter*, routing::kPrimaryReadCauses> primary_reads_by_cause_{};
};

}  // namespace cairnhollow::declared::proxy
