// Obtains tokens from quota owners: one for each operation of a limited tenant and for each statement to a
// cold backend.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "registered/limits/owner_round.h"
#include "registered/limits/quota_ledger.h"
#include "registered/limits/token_stock.h"
#include "registered/placement/retry_after.h"
#include "registered/proxy/fleet/fleet_view.h"
#include "registered/proxy/forwarding/forwarder.h"
#include "registered/proxy/session_metrics.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::proxy {

/// Wait for a token by callers that have an alternative: another backend, or a refusal of a rerun.
inline constexpr Duration kAdmissionTimeout = std::chrono::milliseconds(200);
/// Pause after a round in which no quota owner could grant, before the owners are asked again for operations
/// that still wait. Short against the wait that routes allow, and long enough that an owner which may not
/// grant yet is not asked more often than control confirms its authority.
inline constexpr Duration kRoundPause = std::chrono::milliseconds(50);
/// Operations under one limit that may wait here at once; further ones are refused. Bounds the memory that a
/// tenant without quota owners uses.
inline constexpr std::uint64_t kMaxWaitingOperations = 128;
/// After no quota owner granted a token, this proxy refuses further operations under the same limit for this
/// long without requesting again, so that a tenant far above its limit does not load its owners with requests
/// for each refusal. The pause doubles with each round without a token, up to kMaxRefusalPause. No token is
/// lost, since the owners keep them: their buckets hold more than they gain in such a pause.
inline constexpr Duration kMinRefusalPause = std::chrono::milliseconds(20);
inline constexpr Duration kMaxRefusalPause = limits::kTokenLifetime / 2;

/// The answer to a request for a token.
struct AdmissionAnswer {
  AdmissionOutcome outcome = AdmissionOutcome::kNoOwnerReached;
  Duration retry_after{0};  ///< time until the next token is likely to be available
  /// Expiry of the token; empty if none was needed or none was granted.
  std::optional<TimePoint> expires_at;
  /// For logs: the quota owners asked last, each with its reply. Empty if admitted.
  std::string asked;
};

/// The referenced objects are not owned and must outlive this object, which lives until the process ends.
class LimitClient {
 public:
  LimitClient(runtime::Runtime& runtime, FleetView& view, Forwarder& forwarder, SessionMetrics& metrics)
      : runtime_(runtime), view_(view), forwarder_(forwarder), metrics_(metrics) {}

  /// Takes a token for one operation of the tenant, which must be run immediately. A tenant that is unknown
  /// or has no limit needs none. Waits at most until `wait_until`, and only while a quota owner may still
  /// answer or is likely to be authorized by then; above the limit the answer comes at once.
  Awaitable<AdmissionAnswer> admit(TenantName tenant, TimePoint wait_until);
  /// Takes a token for running the tenant's operation once more. Does not wait for a quota owner that can
  /// grant.
  Awaitable<AdmissionAnswer> admit_again(TenantName tenant);
  /// Takes a token for one statement to the backend, which must be sent before the token expires. If the
  /// backend has no limit now, the answer is kAdmitted without a token.
  Awaitable<AdmissionAnswer> admit_to_cold(BackendName backend);
  /// Gives back a token that expires at `expires_at` and with which nothing was run.
  void give_back(const limits::LimitKey& limited, TimePoint expires_at);

 private:
  /// How long an operation waits for a token.
  struct TokenWait {
    TimePoint until{};
    bool beyond_round = false;  ///< also after a round in which no owner was authorized, if one soon is
  };
  struct TokenAccount {
    explicit TokenAccount(runtime::Runtime& runtime) : answered(runtime) {}
    limits::TokenCache stock;
    bool requesting = false;
    std::uint64_t waiting = 0;  ///< number of operations waiting for an answer
    std::uint64_t rounds = 0;   ///< number of rounds that have ended
    AdmissionAnswer last;       ///< the result of the last round
    Duration authorized_in{0};  ///< likely time until an owner may grant, as of the last round; 0: unknown
    TimePoint refused_until{};
    Duration refusal_pause = kMinRefusalPause;
    runtime::Signal answered;  ///< notified when a round has ended or a token was granted
  };
  using TokenAccountPointer = std::shared_ptr<TokenAccount>;
  /// One round of requests to the owners of a limit.
  struct Inquiry {
    Inquiry(runtime::Runtime& runtime, std::vector<subset::ProxyPointer> asked)
        : owners(std::move(asked)), round(owners.size()), replied(runtime) {}
    std::vector<subset::ProxyPointer> owners;  ///< in the order in which to ask them
    limits::OwnerRound round;
    Duration retry_after = placement::kRetryAfterWithoutPrimary;  ///< shortest of the owners without a token
    std::optional<Duration> authorized_in;  ///< shortest that owners estimate until they may grant
    runtime::Signal replied;
  };
  using InquiryPointer = std::shared_ptr<Inquiry>;

  Awaitable<AdmissionAnswer> admit_tenant(TenantName tenant, TokenWait wait);
  Awaitable<AdmissionAnswer> take_or_request_token(limits::Limit limit, TokenWait wait);
  Awaitable<AdmissionAnswer> wait_for_token(limits::Limit limit, TokenAccountPointer account, TokenWait wait);
  /// Runs rounds until one is answered with tokens or with a refusal, or no operation waits any more.
  Awaitable<void> request_tokens(limits::Limit limit, TokenAccountPointer account);
  Awaitable<void> run_round(limits::Limit limit, TokenAccountPointer account);
  /// `may_lengthen_pause`: statements to cold backends are not refused here but wait, and need no longer
  /// pause.
  void record_round(TokenAccount& account, const Inquiry& inquiry, bool may_lengthen_pause);
  /// Whether an operation that got no token in the last round is likely to get one in time.
  [[nodiscard]] bool is_owner_likely(const TokenAccount& account, TokenWait wait) const;
  /// The answer to an operation that got no token, although none is known to be above the limit.
  static AdmissionAnswer not_admitted(const TokenAccount& account);
  /// Asks one owner and adds the tokens that it grants to the account, also after the round has ended.
  Awaitable<void> ask_owner(limits::Limit limit, TokenAccountPointer account, InquiryPointer inquiry,
                            std::size_t owner);
  Awaitable<std::optional<limits::Grant>> request_from(limits::Limit limit, limits::TokenRequest request,
                                                       subset::ProxyPointer owner);
  /// Owners that are slow in this round are asked last in the next ones.
  void avoid_slow_owners(const Inquiry& inquiry);
  /// The quota owners in the order in which to ask them: this proxy, those of its zone, those of other zones,
  /// then those that were slow recently, and last those that are unreachable.
  [[nodiscard]] std::vector<subset::ProxyPointer> owners_by_preference(const limits::LimitKey& limited) const;

  runtime::Runtime& runtime_;
  FleetView& view_;
  Forwarder& forwarder_;
  SessionMetrics& metrics_;
  std::map<limits::LimitKey, TokenAccountPointer> accounts_;
  std::map<NodeName, TimePoint> slow_until_;
};

}  // namespace cairnhollow::registered::proxy
