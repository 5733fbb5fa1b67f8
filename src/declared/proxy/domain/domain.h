// One domain as served by the proxy: its follow stream and lease, its routing view, and everything that runs
// statements by them. Domains share no state, so the routes, names, queues and budgets of one cannot affect
// another.
#pragma once

#include "declared/follow/follow_client.h"
#include "declared/proxy/calls/decision_log.h"
#include "declared/proxy/domain/follow_feed.h"
#include "declared/proxy/domain/freshness_prober.h"
#include "declared/proxy/forwarding/forwarded_transactions.h"
#include "declared/proxy/statement/outcome_resolver.h"
#include "declared/proxy/statement/pooled_access.h"
#include "declared/proxy/statement/read_executor.h"
#include "declared/proxy/statement/resolve_access.h"
#include "declared/proxy/statement/retry_budget.h"
#include "declared/proxy/statement/write_executor.h"
#include "declared/proxy/transaction/transaction_service.h"

namespace cairnhollow::declared::proxy {

/// Services shared by the domains of one proxy. Not owned; all must outlive the domains.
struct DomainContext {
  runtime::Runtime& runtime;
  const ProxySettings& settings;
  backend::BackendConnector& statement_connector;
  backend::BackendConnector& control_connector;
  DecisionLog& decisions;
};

/// Owns and wires the components; each member is used only by members declared after it. Lives until the
/// process ends.
class Domain {
 public:
  Domain(DomainContext context, DomainSettings settings);

  /// Starts the follow stream and the background tasks, which run until stop().
  void start();
  void stop();
  /// Reports the load to control with the next follow request, or at once if `draining` has changed.
  void report_load(std::uint64_t in_flight, bool draining) { follow_.set_load(in_flight, draining); }
  /// Logs whether the lease was gained or lost since the last call.
  void log_lease();

  /// Empty if this is the only domain.
  [[nodiscard]] const DomainName& name() const { return settings_.name; }
  [[nodiscard]] const std::vector<DatabaseName>& databases() const { return settings_.databases; }
  [[nodiscard]] bool lease_valid() const { return follow_.lease_valid(context_.runtime.now()); }

  [[nodiscard]] const follow::FollowClient& follow() const { return follow_; }
  [[nodiscard]] const PooledBackendAccess& access() const { return access_; }
  [[nodiscard]] const RetryBudget& budget() const { return budget_; }
  [[nodiscard]] const ProxyState& state() const { return state_; }
  ProxyState& state() { return state_; }
  ReadExecutor& reads() { return reads_; }
  WriteExecutor& writes() { return writes_; }
  OutcomeResolver& resolver() { return resolver_; }
  TransactionService& transactions() { return transactions_; }
  Forwarder& forwarder() { return forwarder_; }
  ForwardedTransactions& forwarded_transactions() { return forwarded_transactions_; }

 private:
  void apply_change(const follow::AnswerEffect& effect);

  DomainContext context_;
  DomainSettings settings_;
  follow::FollowClient follow_;
  FollowFeed feed_;
  ServingState serving_;
  PooledBackendAccess access_;
  ResolveAccess resolve_access_;
  routing::BackendEstimates estimates_;
  GroupActivity activity_;
  PositionSignals positions_;
  ProxyState state_;
  ProxyState resolve_state_;
  RetryBudget budget_;
  FreshnessProber prober_;
  OutcomeResolver resolver_;
  ReadExecutor reads_;
  WriteExecutor writes_;
  TransactionService transactions_;
  Forwarder forwarder_;
  ForwardedTransactions forwarded_transactions_;
  bool lease_was_valid_ = false;
};

}  // namespace cairnhollow::declared::proxy
