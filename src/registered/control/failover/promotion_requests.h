// Requests promotions from the platform such that none takes effect against a later decision.
//
// A promotion takes effect when its request arrives, cannot be taken back, and the platform does not check it
// against a term. A request without an answer may therefore still take effect, whoever leads by then:
// - An attempt is recorded in the replicated state before its request is sent
//   (registry/unsettled_promotions.h), so that every later leader knows of it.
// - The request is sent on a connection that is already established, right after a read barrier.
// - The connection is reset as soon as this node no longer leads, and by the end of this process. What a
//   network holds up is lost then: the attempt is withdrawn.
// - The record is removed only on evidence: the platform's answer, that nothing was sent, or the platform's
//   answer to a later request after the attempt was withdrawn. Silence is no evidence.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

#include "consensus/consensus.h"
#include "registered/control/failover/group_terms.h"
#include "registered/control/leader_calls.h"
#include "registered/registry/control_service.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::control {

/// Maximum age of the read barrier when a promotion is requested. A control node that was suspended in
/// between may have a successor that decided otherwise.
inline constexpr Duration kMaxReadBarrierAge = std::chrono::milliseconds(200);
/// Timeout for connecting to the platform.
inline constexpr Duration kPromotionConnectTimeout = std::chrono::milliseconds(1000);
/// How long the failover waits for the platform's answer before it looks for the promotion's effect.
inline constexpr Duration kPromotionCallTimeout = std::chrono::milliseconds(1000);
/// How long the connection is kept open for an answer. It is reset afterwards.
inline constexpr Duration kPromotionAnswerTimeout = std::chrono::seconds(10);
/// Interval at which a node checks that it may keep the connection of a request open.
inline constexpr Duration kPromotionAuthorityCheckInterval = std::chrono::milliseconds(50);
/// An accepted promotion takes effect within this time, or not at all because its backend ended meanwhile.
inline constexpr Duration kPromotionEffectTimeout = std::chrono::seconds(3);
/// Delay before the state of an attempt is reported again, after a report that was not committed.
inline constexpr Duration kPromotionReportRetryDelay = std::chrono::milliseconds(200);
/// How long a stopping process takes to record that its attempts are withdrawn. Those that it does not record
/// bind their groups until its next process has started.
inline constexpr Duration kPromotionConclusionTimeout = std::chrono::seconds(1);
/// Delay between requests that settle withdrawn attempts.
inline constexpr Duration kWithdrawnSettleInterval = std::chrono::milliseconds(500);
/// Maximum number of requests of one group without an outcome.
inline constexpr std::size_t kMaxPromotionsInProgress = 4;

inline constexpr std::size_t kPromotionOutcomes = 4;
/// Name of the outcome in logs and metrics, e.g. "accepted".
const char* outcome_name(registry::PromotionOutcome outcome);

/// Referenced objects are not owned and must outlive this object, which must live until the process exits.
class PromotionRequests {
 public:
  /// `node` is this control node, which is passed to the platform as the holder of the promotion duty.
  PromotionRequests(runtime::Runtime& runtime, consensus::Consensus& consensus,
                    const registry::FleetStateMachine& fleet, GroupTerms& terms, LeaderCalls& calls,
                    registry::PromotionCaller& caller, NodeName node);

  /// Withdraws the attempts of earlier processes of this node, whose connections ended with them.
  void start();
  /// Resets the connections of all requests in progress.
  void stop();
  /// After stop(), returns once the attempts of this process are withdrawn or settled, or after
  /// kPromotionConclusionTimeout.
  Awaitable<void> conclude_all();
  /// Requests the promotion of `chosen`. Returns true if it was requested or may have been. Returns false,
  /// after a delay, if it was rejected or not sent: the platform cannot be reached, this node is not
  /// certainly the leader, another incarnation of the backend has registered, or the close is no longer
  /// current.
  Awaitable<bool> request(registry::GroupTerm closed, registry::BackendIncarnation chosen);
  /// Records that `backend` was seen to lead a later term than that of the close, so that the accepted
  /// requests for it have taken effect.
  void record_effect(const GroupName& group, const BackendName& backend);
  /// On the leader, starts settling the withdrawn attempts of one open group, unless that is in progress:
  /// requests the promotion of the group's present primary once more. That changes nothing, and its answer
  /// shows that the platform has handled what it received before.
  void settle_withdrawn();
  /// Number of attempts of this process that ended with the outcome.
  [[nodiscard]] std::uint64_t count(registry::PromotionOutcome outcome) const {
    return counts_[static_cast<std::size_t>(outcome)];
  }
  /// Number of this process's attempts that have no outcome yet.
  [[nodiscard]] std::size_t in_progress() const { return requests_.size(); }

 private:
  struct Request {
    explicit Request(runtime::Runtime& runtime) : ended(runtime) {}
    registry::PromotionAttempt attempt;
    /// Empty: the group's present primary, in any incarnation.
    std::optional<registry::BackendIncarnation> chosen;
    std::shared_ptr<registry::PromotionChannel> channel;
    TimePoint barrier_started_at{};
    TimePoint sent_at{};
    bool was_reset = false;
    bool took_effect = false;
    std::optional<registry::PromotionOutcome> outcome;
    runtime::Signal ended;  ///< notified when it has an outcome, and when it has taken effect
  };
  using RequestPointer = std::shared_ptr<Request>;

  /// Makes one attempt. Returns null if the platform cannot be reached. Otherwise the request has ended, or
  /// has been sent and not been answered within kPromotionCallTimeout.
  Awaitable<RequestPointer> attempt(registry::GroupTerm term, BackendName backend,
                                    std::optional<registry::BackendIncarnation> chosen);
  /// Connects and creates the request. Returns null if the platform cannot be reached.
  Awaitable<RequestPointer> connect(registry::PromotionAttempt attempt,
                                    std::optional<registry::BackendIncarnation> chosen);
  /// Records the attempt and confirms that this node leads. Returns false if nothing may be sent.
  Awaitable<bool> authorize(RequestPointer request);
  /// Whether the request may be sent now.
  [[nodiscard]] bool may_send(const Request& request) const;
  /// Whether this node still leads in the term of the attempt, as far as it knows.
  [[nodiscard]] bool holds_duty(const Request& request) const;
  Awaitable<void> send(RequestPointer request);
  /// Resets the connection once this node no longer leads or the request has lost its purpose.
  Awaitable<void> watch(RequestPointer request);
  /// Whether the request was to settle attempts of an open group that has been closed since. It would bind
  /// the group to its former primary.
  [[nodiscard]] bool is_superseded(const Request& request) const;
  void reset(Request& request, const char* why);
  void end(const RequestPointer& request, registry::PromotionOutcome outcome, const Reason& reason);
  /// Settles or withdraws the attempt, as its outcome allows.
  Awaitable<void> conclude(RequestPointer request, bool answered);
  /// Whether a promotion that the platform has accepted, this one or an earlier one that its answer settles,
  /// may not have taken effect yet.
  [[nodiscard]] bool may_take_effect(const Request& request, bool answered) const;
  /// Returns true when the promotion has taken effect or cannot any more, and false if this process stops
  /// before.
  Awaitable<bool> wait_for_effect(RequestPointer request);
  /// Submits the command until it is committed.
  Awaitable<void> report(registry::SingleCommand command);
  Awaitable<void> withdraw_earlier_processes();
  Awaitable<void> settle_withdrawn_of(registry::GroupTerm term);
  [[nodiscard]] std::size_t in_progress_of(const GroupName& group) const;
  void log(runtime::LogLevel level, const char* event, const Request& request, const Reason& reason);

  runtime::Runtime& runtime_;
  consensus::Consensus& consensus_;
  const registry::FleetStateMachine& fleet_;
  GroupTerms& terms_;
  LeaderCalls& calls_;
  registry::PromotionCaller& caller_;
  NodeName node_;
  std::uint64_t process_;  ///< random identity of this process
  std::uint64_t next_number_ = 1;
  std::vector<RequestPointer> requests_;  ///< without an outcome
  std::vector<RequestPointer> accepted_;  ///< whose effect is awaited
  std::array<std::uint64_t, kPromotionOutcomes> counts_{};
  std::size_t concluding_ = 0;  ///< attempts with an outcome that is not recorded yet
  runtime::Signal concluded_;
  bool settles_withdrawn_ = false;  ///< a group's withdrawn attempts are being settled
  GroupName last_settled_;          ///< the group whose turn it was
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::control
