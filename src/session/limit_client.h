// Asks the homes of a tenant for tokens, one for each operation that is to run.
#pragma once

#include <map>
#include <memory>

#include "limits/budget_home.h"
#include "limits/token_stock.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"
#include "session/fleet_view.h"
#include "session/forwarder.h"
#include "session/session_metrics.h"

namespace cairnhollow::session {

/// What an operation is told that wants to begin: the tenant has used what it may, or no proxy that counts
/// for it answered.
struct AdmissionAnswer {
  AdmissionOutcome outcome = AdmissionOutcome::kNotCounted;
  Duration retry_after{0};  ///< when the next token is likely to be there
  /// Of the token; empty where none was needed.
  std::optional<TimePoint> expires_at;
};

/// What it refers to outlives it; it lives until the process ends.
class LimitClient {
 public:
  LimitClient(runtime::Runtime& runtime, FleetView& view, Forwarder& forwarder, SessionMetrics& metrics)
      : runtime_(runtime), view_(view), forwarder_(forwarder), metrics_(metrics) {}

  /// A token for one operation of the tenant, to be run at once. A tenant that is not known, or has no limit,
  /// needs none.
  Awaitable<AdmissionAnswer> admit(TenantName tenant);
  /// Nothing was run with a token that expires then.
  void give_back(const TenantName& tenant, TimePoint expires_at);

 private:
  struct Account {
    explicit Account(runtime::Runtime& runtime) : answered(runtime) {}
    limits::TokenStock stock;
    bool asking = false;
    std::uint64_t waiting = 0;  ///< operations
    AdmissionAnswer last;       ///< of the question asked last
    TimePoint refused_until{};
    runtime::Signal answered;
  };
  using AccountPointer = std::shared_ptr<Account>;

  Awaitable<AdmissionAnswer> take_or_ask(registry::TenantRule tenant);
  Awaitable<void> ask_homes(registry::TenantRule tenant, AccountPointer account);
  Awaitable<limits::Grant> ask(registry::TenantRule tenant, limits::TokenWish wish,
                               routing::ProxyPointer home);
  /// This proxy, those of its zone, the others; those that did not answer a moment ago last.
  [[nodiscard]] std::vector<routing::ProxyPointer> order_of(const TenantName& tenant) const;

  runtime::Runtime& runtime_;
  FleetView& view_;
  Forwarder& forwarder_;
  SessionMetrics& metrics_;
  std::map<TenantName, AccountPointer> accounts_;
  std::map<NodeName, TimePoint> silent_until_;
};

}  // namespace cairnhollow::session
