// The HTTP surface of a proxy: the caller API (docs/API.md), diagnostics, health and metrics.
#pragma once

#include <set>

#include "declared/proxy/calls/caller_answer.h"
#include "declared/proxy/calls/caller_request.h"
#include "declared/proxy/calls/request_table.h"
#include "declared/proxy/domain/domain_table.h"
#include "declared/proxy/proxy_metrics.h"
#include "http/request_target.h"

namespace cairnhollow::declared::proxy {

/// What serves the calls; all outlive the API.
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

  /// From now on new statements are refused with kDraining and answers tell callers to reconnect elsewhere.
  void start_draining() { draining_ = true; }
  [[nodiscard]] std::size_t in_flight() const { return requests_.count(); }
  /// Connections that have sent a request and are still open.
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
  /// The group of the call when this proxy does not serve it and the request has not been forwarded yet.
  [[nodiscard]] static std::optional<GroupName> group_elsewhere(const Domain& domain,
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
  /// A commit of a transaction that is not known here, for a group that other proxies serve.
  Awaitable<runtime::HttpResponse> forward_unknown_commit(Domain& domain, HopCall hop, CommitBody body);
  /// The far proxy's answer, or this proxy's refusal, which is counted.
  runtime::HttpResponse hop_answer(HopAnswer answer, const std::optional<RequestId>& request_id);

  /// Where the transaction is open, else where the body says that it was begun. Null with kNoRoute.
  Domain* domain_of_commit(const TransactionId& id, const CommitBody& body, Reason& reason);
  /// After a begin: rolls back what its connection began when that has closed meanwhile.
  void end_begin(std::multiset<runtime::HttpConnectionId>::iterator begin);

  // Diagnostics (caller_api_diagnostics.cpp).
  /// Ready when one domain's work at least is taken; tells of each.
  runtime::HttpResponse get_readiness() const;
  runtime::HttpResponse get_metrics();
  runtime::HttpResponse get_explain(const http::RequestTarget& target);

  /// Whether new work of the domain is taken now. A forwarded call must be served here, another one may be
  /// forwarded to the proxies that the domain names.
  bool admit(const Domain& domain, bool forwarded, Reason& reason) const;
  /// Whether callers should go to another proxy; who still comes may be served all the same.
  [[nodiscard]] bool redirects_callers() const;
  [[nodiscard]] ParseContext parse_context(const runtime::HttpRequest& request) const;
  runtime::HttpResponse refuse_now(Reason reason);
  /// When a proxy whose lease has lapsed may serve again: with the answer to its next question to control,
  /// which it asks within a follow interval.
  void name_renewal(Refused& refused) const;
  /// Completes a refusal, counts the outcome, and logs one that is unknown.
  void account(CallKind kind, TimePoint arrived, Outcome& outcome,
               const std::optional<RequestId>& request_id);

  runtime::Runtime& runtime_;
  const ProxySettings& settings_;
  DomainTable& domains_;
  DecisionLog& decisions_;
  ProxyMetrics metrics_;
  RequestTable requests_;
  std::multiset<runtime::HttpConnectionId> beginning_;  ///< connections with a begin in flight
  std::set<runtime::HttpConnectionId> gone_;            ///< of these, the ones that have closed meanwhile
  std::set<runtime::HttpConnectionId> caller_connections_;
  bool draining_ = false;
};

}  // namespace cairnhollow::declared::proxy
