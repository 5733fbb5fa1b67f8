// Finds the control node that leads: asks several side by side, so that one that is dark or cut off holds up
// nobody. A control node that knows of no leader keeps the question for a moment and answers it as soon as it
// leads or knows who does.
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

/// Control nodes asked side by side for the leader: as many as vote where five lost disks are borne. More
/// machines only stand by.
inline constexpr std::size_t kControlNodesAskedAtOnce = 11;
/// Longest wait for a connection to one of them. A machine that has no power lets a dial hang, and one that
/// has it back answers a new dial at once: so dials are short, but fifty round trips between zones (2 ms on
/// the deployments) and four between regions. Each fifth is longer, for links that are slow.
inline constexpr Duration kControlDial = std::chrono::milliseconds(100);
inline constexpr Duration kLongControlDial = std::chrono::milliseconds(400);
inline constexpr int kLongControlDialEvery = 5;
inline constexpr Duration kSearchLogInterval = std::chrono::milliseconds(250);
/// Pause before a control node is asked again, first and at most; it doubles in between.
inline constexpr Duration kControlRetryPause = std::chrono::milliseconds(20);
inline constexpr Duration kControlRetryLimit = std::chrono::milliseconds(80);

/// What it refers to outlives it; it lives until the process ends.
class LeaderSearch {
 public:
  using MakeReport = std::function<registry::ProxyReport()>;
  struct Found {
    std::shared_ptr<ControlConversation> conversation;
    registry::ProxyUpdate answer;  ///< to the conversation's only report so far
  };

  LeaderSearch(runtime::Runtime& runtime, wire::Hello hello, std::uint16_t control_port,
               MakeReport make_report);

  /// Until one of `endpoints`, or one that they name, answers as leader. Empty: stopped.
  Awaitable<std::optional<Found>> run(std::vector<Endpoint> endpoints);
  void stop();

 private:
  struct Round {
    explicit Round(runtime::Runtime& runtime) : ended(runtime) {}
    std::deque<Endpoint> waiting;  ///< to be asked next
    std::set<Endpoint> being_asked;
    std::set<std::shared_ptr<ControlConversation>> open;
    std::optional<Found> found;
    bool over = false;
    runtime::Signal ended;
  };
  using RoundPointer = std::shared_ptr<Round>;

  /// Asks one control node after the other until the round is over.
  Awaitable<void> ask_in_turn(RoundPointer round);
  Awaitable<void> ask(RoundPointer round, Endpoint endpoint, Duration dial_limit);
  Awaitable<std::shared_ptr<ControlConversation>> open(Endpoint endpoint, Duration dial_limit,
                                                       Reason& reason);
  Awaitable<std::optional<registry::ProxyUpdate>> report(std::shared_ptr<ControlConversation> conversation,
                                                         Reason& reason);
  Awaitable<void> close_when_stalled(std::shared_ptr<ControlConversation> conversation);
  /// A control node of a build before compressed deltas closes without a word: the next one is asked for
  /// plain deltas, and after another such end for compressed ones again.
  void record_closed_unanswered();
  void take_hint(const RoundPointer& round, const Reason& refusal);
  void end(Round& round);
  /// Told at most every kSearchLogInterval.
  void record_failure(const Reason& reason, const Endpoint& endpoint);

  runtime::Runtime& runtime_;
  wire::Hello hello_;
  std::uint16_t control_port_;
  MakeReport make_report_;
  RoundPointer round_;
  TimePoint logged_at_{};
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::proxy
