// Keeps proxies' questions while no control node leads, so that leases go out with an election and not with
// the next round of questions.
#pragma once

#include "consensus/consensus.h"
#include "registered/control/leader_calls.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::control {

/// A proxy's question is kept so long while no leader is known, and answered at once when one is: within the
/// time for which proxies wait for a first answer (0.9 s), and longer than an election takes (0.07 to 0.3 s).
inline constexpr Duration kLeaderPatience = std::chrono::milliseconds(600);
/// How often the consensus group is asked meanwhile. Chosen, not measured.
inline constexpr Duration kLeaderCheckInterval = std::chrono::milliseconds(5);

/// The objects that it is given outlive it; it lives until the process ends.
class LeaderWait {
 public:
  LeaderWait(runtime::Runtime& runtime, const consensus::Consensus& consensus, const LeaderCalls& calls)
      : runtime_(runtime), consensus_(consensus), calls_(calls), known_(runtime) {}

  void stop() { stopping_ = true; }
  /// Whether this node leads, or knows who does.
  [[nodiscard]] bool knows_leader() const;
  /// Until a leader is known, at most for kLeaderPatience.
  Awaitable<void> wait();

 private:
  Awaitable<void> check();

  runtime::Runtime& runtime_;
  const consensus::Consensus& consensus_;
  const LeaderCalls& calls_;
  runtime::Signal known_;
  bool checking_ = false;
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::control
