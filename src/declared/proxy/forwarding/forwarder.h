// Forwards calls for groups that this proxy does not serve to a proxy that does, one hop at most. What was
// sent and not answered is never sent again, unless it leaves no trace: its outcome is asked for through
// another proxy of the subset.
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
  TimePoint deadline;                      ///< by which the answer leaves
  std::optional<LedgerQuestion> question;  ///< unset: it leaves no trace and may be sent to several proxies
  std::optional<RequestId> request_id;     ///< under which `explain` finds where it went
  bool resent = false;                     ///< refusals then say `unknown` of earlier copies
};

/// The far proxy's answer as the caller gets it, or this proxy's own refusal.
using HopAnswer = std::variant<runtime::HttpResponse, Refused>;

/// Counted since the start.
struct ForwardStatistics {
  std::uint64_t answered = 0;     ///< with a result or a refusal, passed through
  std::uint64_t declined = 0;     ///< the far proxy drains or has no lease: the next one was tried
  std::uint64_t unreachable = 0;  ///< nothing was sent: the next one was tried
  std::uint64_t unanswered = 0;   ///< sent, and no answer came
  std::uint64_t resolved = 0;     ///< of these writes and commits, the ones whose outcome was learned
  std::uint64_t unknown = 0;      ///< of these, the ones whose outcome was not learned in time
  std::uint64_t refused = 0;      ///< no proxy of the subset took it
};

/// The proxies that serve the group, in the order in which this one forwards to them.
std::vector<routing::ForwardTarget> forward_targets(const routing::GroupView& group,
                                                    const ProxySettings& settings);

class Forwarder {
 public:
  /// All outlive the forwarder, and it lives until the process ends.
  Forwarder(ProxyState& state, RetryBudget& budget, DecisionLog& decisions)
      : state_(state),
        budget_(budget),
        decisions_(decisions),
        pool_(state.runtime),
        watch_(state.runtime, pool_, [this](const routing::ForwardTarget& target) { avoid(target); }) {}

  /// Watches for proxies that do not answer. Runs until stop().
  Awaitable<void> run() { return watch_.run(); }
  void stop() { watch_.stop(); }

  /// An answered call with the hop that carried it, for who goes on using the same connection.
  struct Forwarded {
    HopAnswer answer;
    HopPool::HopPointer hop;
    routing::ForwardTarget target;
  };

  Awaitable<HopAnswer> forward(HopCall call);
  Awaitable<Forwarded> forward_and_keep(HopCall call);
  /// Asks the proxies of the subset, `silent` last, for the outcome of what was sent there and not answered.
  Awaitable<HopAnswer> resolve(LedgerQuestion question, GroupName group, TimePoint deadline,
                               routing::ForwardTarget silent, Reason cause);
  /// One exchange on a hop, marked, that leaves time before `deadline` to ask for the outcome elsewhere.
  Awaitable<std::optional<runtime::HttpResponse>> exchange(HopPool::Hop& hop, routing::ForwardTarget target,
                                                           runtime::HttpRequest request, TimePoint answer_by,
                                                           runtime::SendState& sent, Reason& reason);
  /// By when the far proxy must have answered.
  [[nodiscard]] TimePoint answer_by(TimePoint deadline, bool leaves_no_trace) const;
  /// A proxy that did not answer goes to the end of the order for a while, longer each time.
  void avoid(const routing::ForwardTarget& target);
  /// A proxy whose time is over is tried by one call; others go on avoiding it until that has its answer.
  void begin_trial(const routing::ForwardTarget& target);
  void count_unanswered() { ++statistics_.unanswered; }

  /// Closes idle connections. Called every now and then.
  void drop_idle() { pool_.drop_idle(); }
  [[nodiscard]] const ForwardStatistics& statistics() const { return statistics_; }
  [[nodiscard]] std::size_t connections() const { return pool_.connections(); }

 private:
  struct Avoided {
    TimePoint until;
    Duration pause{0};
  };
  enum class Next : std::uint8_t { kAnswered, kTryNext, kUnanswered };

  /// The targets with those to avoid last.
  std::vector<routing::ForwardTarget> targets(const GroupName& group);
  /// One proxy. `call` outlives it.
  Awaitable<Next> attempt(const HopCall& call, routing::ForwardTarget target, Forwarded& forwarded,
                          Reason& last);
  Next judge(const HopCall& call, runtime::HttpResponse response, Forwarded& forwarded, Reason& last);
  void record(const HopCall& call, const routing::ForwardTarget& target);
  Awaitable<std::optional<HopAnswer>> ask(runtime::HttpRequest question, routing::ForwardTarget target,
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
