// Obtains tokens from quota owners: one for each operation of a limited tenant and for each statement to a
// cold backend.
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

/// Longest wait for one quota owner before the next one is asked: kForwardConnectWait plus time for the
/// answer. The waits for all three owners must fit into kAdmissionTimeout.
inline constexpr Duration kOwnerTimeout = std::chrono::milliseconds(60);
inline constexpr Duration kAdmissionTimeout = std::chrono::milliseconds(200);
/// After no quota owner granted a token, this proxy refuses further operations under the same limit for this
/// long without requesting again, so that a tenant far above its limit does not cause requests to three
/// owners per refusal. No token is lost, since the owners keep them.
inline constexpr Duration kMinRefusalPause = std::chrono::milliseconds(20);

/// The answer to a request for a token: admitted, over the limit, or not counted because no quota owner that
/// may count has answered.
struct AdmissionAnswer {
  AdmissionOutcome outcome = AdmissionOutcome::kNotCounted;
  Duration retry_after{0};  ///< time until the next token is likely to be available
  /// Expiry of the token; empty if none was needed or none was granted.
  std::optional<TimePoint> expires_at;
};

/// The referenced objects are not owned and must outlive this object, which lives until the process ends.
class LimitClient {
 public:
  LimitClient(runtime::Runtime& runtime, FleetView& view, Forwarder& forwarder, SessionMetrics& metrics)
      : runtime_(runtime), view_(view), forwarder_(forwarder), metrics_(metrics) {}

  /// Takes a token for one operation of the tenant, which must be run immediately. A tenant that is unknown
  /// or has no limit needs none.
  Awaitable<AdmissionAnswer> admit(TenantName tenant);
  /// Takes a token for one statement to the backend, which must be sent before the token expires. If the
  /// backend has no limit now, the answer is kAdmitted without a token.
  Awaitable<AdmissionAnswer> admit_to_cold(BackendName backend);
  /// Gives back a token that expires at `expires_at` and with which nothing was run.
  void give_back(const limits::LimitKey& limited, TimePoint expires_at);

 private:
  struct TokenAccount {
    explicit TokenAccount(runtime::Runtime& runtime) : answered(runtime) {}
    limits::TokenCache stock;
    bool requesting = false;
    std::uint64_t waiting = 0;  ///< number of operations waiting for an answer
    AdmissionAnswer last;       ///< the owners' answer to the last request
    TimePoint refused_until{};
    runtime::Signal answered;
  };
  using TokenAccountPointer = std::shared_ptr<TokenAccount>;

  Awaitable<AdmissionAnswer> take_or_request_token(limits::Limit limit);
  Awaitable<void> request_tokens(limits::Limit limit, TokenAccountPointer account);
  Awaitable<limits::Grant> request_from(limits::Limit limit, limits::TokenRequest request,
                                        subset::ProxyPointer owner);
  /// The quota owners in the order in which to ask them: this proxy, those of its zone, those of other zones,
  /// and last those that recently did not answer or are unreachable.
  [[nodiscard]] std::vector<subset::ProxyPointer> owners_by_preference(const limits::LimitKey& limited) const;

  runtime::Runtime& runtime_;
  FleetView& view_;
  Forwarder& forwarder_;
  SessionMetrics& metrics_;
  std::map<limits::LimitKey, TokenAccountPointer> accounts_;
  std::map<NodeName, TimePoint> unresponsive_until_;
};

}  // namespace cairnhollow::registered::proxy
