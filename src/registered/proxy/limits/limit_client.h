// Asks the owners of what is limited for tokens: one for each operation of a tenant, and for each statement
// to a cold backend.
#pragma once

#include <chrono>
#include <map>
#include <memory>

#include "registered/limits/quota_ledger.h"
#include "registered/limits/token_stock.h"
#include "registered/proxy/fleet/fleet_view.h"
#include "registered/proxy/forwarding/forwarder.h"
#include "registered/proxy/session_metrics.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::proxy {

/// A quota owner is waited for this long for tokens: as long as a dial to another proxy, and a little
/// for the answer; then the next one is asked. All three fit into the limit.
inline constexpr Duration kOwnerPatience = std::chrono::milliseconds(60);
inline constexpr Duration kAdmissionLimit = std::chrono::milliseconds(200);
/// After all owners of a tenant's quota had no token, none of its operations here asks again for this long: a
/// tenant at several times its limit would ask three of them for each refusal. No token is lost by it: the
/// owners hold them.
inline constexpr Duration kLeastRefusalPause = std::chrono::milliseconds(20);

/// What an operation is told that wants to begin, or a statement that wants to be sent: what may pass has
/// passed, or no proxy that counts answered.
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
  /// A token for one statement to the backend, to be sent before it expires. One that has no limit now needs
  /// none, and the answer has none.
  Awaitable<AdmissionAnswer> admit_to_cold(BackendName backend);
  /// Nothing was run with a token that expires then.
  void give_back(const limits::LimitKey& limited, TimePoint expires_at);

 private:
  struct Account {
    explicit Account(runtime::Runtime& runtime) : answered(runtime) {}
    limits::TokenCache stock;
    bool asking = false;
    std::uint64_t waiting = 0;  ///< operations
    AdmissionAnswer last;       ///< of the question asked last
    TimePoint refused_until{};
    runtime::Signal answered;
  };
  using AccountPointer = std::shared_ptr<Account>;

  Awaitable<AdmissionAnswer> take_or_ask(limits::Limit limit);
  Awaitable<void> ask_owners(limits::Limit limit, AccountPointer account);
  Awaitable<limits::Grant> ask(limits::Limit limit, limits::TokenRequest wanted, subset::ProxyPointer owner);
  /// This proxy, those of its zone, the others; those that did not answer a moment ago last.
  [[nodiscard]] std::vector<subset::ProxyPointer> order_of(const limits::LimitKey& limited) const;

  runtime::Runtime& runtime_;
  FleetView& view_;
  Forwarder& forwarder_;
  SessionMetrics& metrics_;
  std::map<limits::LimitKey, AccountPointer> accounts_;
  std::map<NodeName, TimePoint> silent_until_;
};

}  // namespace cairnhollow::registered::proxy
