// Forwards calls for groups that this proxy does not serve to a proxy that does, by at most one hop. A call
// that was sent and not answered is never sent again unless it has no lasting effect: its outcome is queried
// through another proxy of the subset.
#pragma once

#include <map>
#include <variant>

#include "declared/proxy/calls/decision_log.h"
#include "declared/proxy/forwarding/forward_messages.h"
#include "declared/proxy/forwarding/hop_watch.h"
#include "declared/proxy/statement/attempt.h"
#include "declared/proxy/statement/retry_budget.h"

namespace cairnhollow::declared::proxy {

/// A caller's call for a group that other proxies serve.
struct HopCall {
  runtime::HttpRequest request;  ///< as the caller sent it
  GroupName group;
  TimePoint deadline;                   ///< time by which the answer must be sent
  std::optional<LedgerQuery> query;     ///< unset: has no lasting effect, may be sent to several proxies
  std::optional<RequestId> request_id;  ///< key under which `explain` reports where the call went
  bool resent = false;                  ///< refusals then report `unknown` because of earlier copies
};

/// The remote proxy's answer as returned to the caller, or this proxy's own refusal.
using HopAnswer = std::variant<runtime::HttpResponse, Refused>;

/// Counters since the start.
struct ForwardStatistics {
  std::uint64_t answered = 0;     ///< with a result or a refusal, which was passed through
  std::uint64_t declined = 0;     ///< the remote proxy drains or has no lease; the next one was tried
  std::uint64_t unreachable = 0;  ///< nothing was sent; the next one was tried
  std::uint64_t unanswered = 0;   ///< sent, but no answer arrived
  std::uint64_t resolved = 0;     ///< unanswered writes and commits whose outcome was learned
  std::uint64_t unknown = 0;      ///< unanswered ones whose outcome was not learned in time
  std::uint64_t refused = 0;      ///< no proxy of the subset accepted the call
};

/// The proxies that serve the group, in this proxy's forwarding order.
std::vector<routing::ForwardTarget> forward_targets(const routing::GroupView& group,
                                                    const ProxySettings& settings);

class Forwarder {
 public:
  /// The arguments are not owned and must outlive the forwarder, which lives until the process ends.
  Forwarder(ProxyState& state, RetryBudget& budget, DecisionLog& decisions)
      : state_(state),
        budget_(budget),
        decisions_(decisions),
        pool_(state.runtime),
        watch_(state.runtime, pool_, [this](const routing::ForwardTarget& target) { avoid(target); }) {}

  /// Monitors outstanding answers for unresponsive proxies. Runs until stop().
  Awaitable<void> run() { return watch_.run(); }
  void stop() { watch_.stop(); }

  /// An answered call with the connection it used, for callers that continue on the same connection.
  struct Forwarded {
    HopAnswer answer;
    HopPool::HopPointer hop;
    routing::ForwardTarget target;
  };

  Awaitable<HopAnswer> forward(HopCall call);
  Awaitable<Forwarded> forward_and_keep(HopCall call);
  /// Queries the proxies of the subset, `unresponsive` last, for the outcome of a call that was sent there
  /// and not answered.
  Awaitable<HopAnswer> resolve(LedgerQuery query, GroupName group, TimePoint deadline,
                               routing::ForwardTarget unresponsive, Reason cause);
  /// Performs one exchange on a connection, with the forwarding headers, and waits for the answer until
  /// `answer_by`.
  Awaitable<std::optional<runtime::HttpResponse>> exchange(HopPool::Hop& hop, routing::ForwardTarget target,
                                                           runtime::HttpRequest request, TimePoint answer_by,
                                                           runtime::SendState& sent, Reason& reason);
  /// The time by which the remote proxy must answer: early enough to query the outcome elsewhere before
  /// `deadline`, or to try another proxy for a call with `leaves_no_trace`.
  [[nodiscard]] TimePoint answer_by(TimePoint deadline, bool leaves_no_trace) const;
  /// Moves an unresponsive proxy to the end of the order for a while, longer each time.
  void avoid(const routing::ForwardTarget& target);
  /// Lets a single call try a proxy whose avoidance time has expired; other calls keep avoiding it until that
  /// call is answered.
  void begin_trial(const routing::ForwardTarget& target);
  void count_unanswered() { ++statistics_.unanswered; }

  /// Closes idle connections; called periodically.
  void drop_idle() { pool_.drop_idle(); }
  [[nodiscard]] const ForwardStatistics& statistics() const { return statistics_; }
  [[nodiscard]] std::size_t connections() const { return pool_.connections(); }

 private:
  struct Avoided {
    TimePoint until;
    Duration pause{0};
  };
  enum class AttemptResult : std::uint8_t { kAnswered, kTryNext, kUnanswered };

  /// The targets for the group, avoided ones last.
  std::vector<routing::ForwardTarget> targets(const GroupName& group);
  /// Tries one proxy. `call` must outlive the coroutine.
  Awaitable<AttemptResult> attempt(const HopCall& call, routing::ForwardTarget target, Forwarded& forwarded,
                                   Reason& last);
  AttemptResult classify_answer(const HopCall& call, runtime::HttpResponse response, Forwarded& forwarded,
                                Reason& last);
  void record(const HopCall& call, const routing::ForwardTarget& target);
  Awaitable<std::optional<HopAnswer>> query_outcome(runtime::HttpRequest query, routing::ForwardTarget target,
                                                    TimePoint deadline, Reason& reason);

  ProxyState& state_;
  RetryBudget& budget_;
  DecisionLog& decisions_;
  HopPool pool_;
  HopWatch watch_;
  std::map<NodeName, Avoided> avoided_;
  ForwardStatistics statistics_;
};

}  // namespace cairnhollow::declared::proxy
