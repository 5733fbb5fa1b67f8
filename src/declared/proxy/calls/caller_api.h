// HTTP interface of a proxy: the caller API (docs/API.md), diagnostics, health and metrics.
#pragma once

#include <set>

#include "declared/proxy/calls/caller_answer.h"
#include "declared/proxy/calls/caller_request.h"
#include "declared/proxy/calls/request_table.h"
#include "declared/proxy/domain/domain_table.h"
#include "declared/proxy/proxy_metrics.h"
#include "http/request_target.h"

namespace cairnhollow::declared::proxy {

/// Dependencies of the API; all must outlive it.
struct CallerServices {
  runtime::Runtime& runtime;
  const ProxySettings& settings;
  DomainTable& domains;
  DecisionLog& decisions;
};

class CallerApi : public runtime::HttpHandler {
 public:
  explicit CallerApi(CallerServices services)
      : runtime_(services.runtime),
        settings_(services.settings),
        domains_(services.domains),
        decisions_(services.decisions) {}

  Awaitable<runtime::HttpResponse> handle(runtime::HttpRequest request,
                                          runtime::HttpConnectionId connection) override;
  void connection_closed(runtime::HttpConnectionId connection) override;

  /// From now on refuses new statements with kDraining, and answers tell callers to reconnect to another
  /// proxy.
  void start_draining() { draining_ = true; }
  [[nodiscard]] std::size_t in_flight() const { return requests_.count(); }
  /// Number of open connections that have sent a request.
  [[nodiscard]] std::size_t caller_connections() const { return caller_connections_.size(); }

 private:
  Awaitable<runtime::HttpResponse> dispatch(runtime::HttpRequest request,
                                            runtime::HttpConnectionId connection);
  Awaitable<runtime::HttpResponse> post(runtime::HttpRequest request, http::RequestTarget target,
                                        runtime::HttpConnectionId connection);
  runtime::HttpResponse get(const http::RequestTarget& target);

  Awaitable<runtime::HttpResponse> post_statement(runtime::HttpRequest request);
  Awaitable<Outcome> run_statement(Domain& domain, StatementCall call, bool forwarded);
  Awaitable<runtime::HttpResponse> post_begin(runtime::HttpRequest request,
                                              runtime::HttpConnectionId connection);
  Awaitable<runtime::HttpResponse> post_in_transaction(runtime::HttpRequest request, TransactionId id);
  Awaitable<runtime::HttpResponse> run_in_transaction(runtime::HttpRequest request, TransactionId id,
                                                      TransactionStatementBody body);
  Awaitable<runtime::HttpResponse> post_commit(runtime::HttpRequest request, TransactionId id);
  Awaitable<runtime::HttpResponse> post_rollback(runtime::HttpRequest request, TransactionId id);
  Awaitable<runtime::HttpResponse> post_resolve(runtime::HttpRequest request);
  Awaitable<Outcome> run_resolve(Domain& domain, StatementCall call, bool forwarded);

  // Calls for groups that other proxies serve (caller_api_forwarding.cpp).
  /// Returns the group of the call if this proxy does not serve it and the request has not been forwarded
  /// yet.
  [[nodiscard]] static std::optional<GroupName> forwarding_group(const Domain& domain,
                                                                 const runtime::HttpRequest& request,
                                                                 const StatementCall& call);
  Awaitable<runtime::HttpResponse> forward_statement(Domain& domain, HopCall hop, StatementCall call);
  Awaitable<runtime::HttpResponse> forward_resolve(Domain& domain, HopCall hop, StatementCall call);
  Awaitable<runtime::HttpResponse> forward_begin(Domain& domain, HopCall hop, StatementCall call,
                                                 runtime::HttpConnectionId connection);
  Awaitable<runtime::HttpResponse> forward_in_transaction(Domain& domain, TransactionId id,
                                                          runtime::HttpRequest request, TimePoint deadline,
                                                          TransactionStep step);
  Awaitable<runtime::HttpResponse> forward_commit(Domain& domain, TransactionId id,
                                                  runtime::HttpRequest request, CommitBody body);
  /// Forwards the commit of a transaction that is unknown here, for a group that other proxies serve.
  Awaitable<runtime::HttpResponse> forward_unknown_commit(Domain& domain, HopCall hop, CommitBody body);
  /// Returns the other proxy's answer, or this proxy's refusal, which is counted in the metrics.
  runtime::HttpResponse hop_answer(HopAnswer answer, const std::optional<RequestId>& request_id);

  /// Returns the domain in which the transaction is open, or else the one that the body names. Returns null
  /// with kNoRoute if there is none.
  Domain* domain_of_commit(const TransactionId& id, const CommitBody& body, Reason& reason);
  /// Called after a begin: rolls back the transaction if its caller connection has closed in the meantime.
  void finish_begin(std::multiset<runtime::HttpConnectionId>::iterator begin);

  // Diagnostics (caller_api_diagnostics.cpp).
  /// Ready if work of at least one domain is accepted; the body reports each domain.
  runtime::HttpResponse get_readiness() const;
  runtime::HttpResponse get_metrics();
  runtime::HttpResponse get_explain(const http::RequestTarget& target);

  /// Whether new work of the domain is accepted now. A forwarded call must be served here; any other call may
  /// be forwarded to the domain's proxies.
  bool admit(const Domain& domain, bool forwarded, Reason& reason) const;
  /// Whether callers should use another proxy; calls that still arrive may be served.
  [[nodiscard]] bool redirects_callers() const;
  [[nodiscard]] ParseContext parse_context(const runtime::HttpRequest& request) const;
  runtime::HttpResponse refuse_now(Reason reason);
  /// Sets the time after which a proxy with an expired lease may serve again: the lease is renewed with the
  /// answer to its next request to control, which it sends within one follow interval.
  void set_renewal_retry(Refused& refused) const;
  /// Completes a refusal, counts the outcome, and logs it if it is unknown.
  void record_outcome(CallKind kind, TimePoint arrived, Outcome& outcome,
                      const std::optional<RequestId>& request_id);

  runtime::Runtime& runtime_;
  const ProxySettings& settings_;
  DomainTable& domains_;
  DecisionLog& decisions_;
  ProxyMetrics metrics_;
  RequestTable requests_;
  std::multiset<runtime::HttpConnectionId> begins_in_flight_;  ///< connections with a begin in flight
  std::set<runtime::HttpConnectionId> closed_during_begin_;    ///< of begins_in_flight_, those now closed
  std::set<runtime::HttpConnectionId> caller_connections_;
  bool draining_ = false;
};

}  // namespace cairnhollow::declared::proxy
