// Finds the leader of the control nodes by asking several in parallel, so that an unreachable one delays no
// search. A control node that knows no leader holds the report briefly and answers once it leads or learns
// the leader.
#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "registered/proxy/fleet/control_conversation.h"
#include "registered/registry/messages.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"
#include "wire/hello.h"

namespace cairnhollow::registered::proxy {

/// Control nodes asked in parallel: the number of voters that tolerates five failures. Any further control
/// nodes are standbys.
inline constexpr std::size_t kMaxParallelLeaderQueries = 11;
/// Connect timeout. A dial to a machine without power hangs, while a new dial succeeds at once when power
/// returns, so dials are short. Every fifth dial has the longer timeout, for slow networks.
/// Fifty round trips between zones (2 ms), and four between regions.
inline constexpr Duration kControlDialTimeout = std::chrono::milliseconds(100);
inline constexpr Duration kLongControlDialTimeout = std::chrono::milliseconds(400);
inline constexpr int kLongControlDialEvery = 5;
inline constexpr Duration kSearchLogInterval = std::chrono::milliseconds(250);
/// Initial and maximum pause of the exponential backoff between dials.
inline constexpr Duration kControlRetryBackoff = std::chrono::milliseconds(20);
inline constexpr Duration kControlRetryMaxBackoff = std::chrono::milliseconds(80);

/// `runtime` is not owned and must outlive this object, which lives until the process ends.
class LeaderSearch {
 public:
  using MakeReport = std::function<registry::ProxyReport()>;
  using OnHeard = std::function<void()>;
  struct Found {
    std::shared_ptr<ControlConversation> conversation;
    registry::ProxyUpdate answer;  ///< answer to the first and so far only report of the conversation
  };

  /// `on_heard`: called whenever a control node accepts a connection or answers a report.
  LeaderSearch(runtime::Runtime& runtime, wire::Hello hello, std::uint16_t control_port,
               MakeReport make_report, OnHeard on_heard);

  /// Runs until one of `endpoints`, or a leader named by one of them, answers as leader. Returns std::nullopt
  /// if the search was stopped.
  Awaitable<std::optional<Found>> run(std::vector<Endpoint> endpoints);
  void stop();

 private:
  struct Round {
    explicit Round(runtime::Runtime& runtime) : ended(runtime) {}
    std::deque<Endpoint> waiting;  ///< endpoints to ask next, in order
    std::set<Endpoint> in_progress;
    std::set<std::shared_ptr<ControlConversation>> open;
    std::optional<Found> found;
    bool finished = false;
    runtime::Signal ended;
  };
  using RoundPointer = std::shared_ptr<Round>;

  /// Asks one waiting control node after another until the round has ended.
  Awaitable<void> ask_control_nodes(RoundPointer round);
  Awaitable<void> ask(RoundPointer round, Endpoint endpoint, Duration dial_timeout);
  Awaitable<std::shared_ptr<ControlConversation>> open(Endpoint endpoint, Duration dial_timeout,
                                                       Reason& reason);
  Awaitable<std::optional<registry::ProxyUpdate>> report(std::shared_ptr<ControlConversation> conversation,
                                                         Reason& reason);
  Awaitable<void> close_when_stalled(std::shared_ptr<ControlConversation> conversation);
  /// Called when a control node closed the connection without an answer, as builds that don't support
  /// compressed deltas do. Toggles between compressed and plain deltas for the next attempt.
  void toggle_compression();
  void follow_leader_hint(const RoundPointer& round, const Reason& refusal);
  void end(Round& round);
  /// Logs at most once per kSearchLogInterval.
  void record_failure(const Reason& reason, const Endpoint& endpoint);

  runtime::Runtime& runtime_;
  wire::Hello hello_;
  std::uint16_t control_port_;
  MakeReport make_report_;
  OnHeard on_heard_;
  RoundPointer round_;
  TimePoint logged_at_{};
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::proxy
