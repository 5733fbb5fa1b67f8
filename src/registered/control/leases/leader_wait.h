// Holds proxies' lease requests while no leader is known, so that they are answered as soon as an election
// completes instead of on the next request.
#pragma once

#include "consensus/consensus.h"
#include "registered/control/leader_calls.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::control {

/// Maximum time a lease request is held while no leader is known. Shorter than the time for which a proxy
/// waits for its first answer (0.9 s) and longer than an election.
inline constexpr Duration kLeaderWaitTimeout = std::chrono::milliseconds(600);
/// Polling interval for a leader while requests are held.
inline constexpr Duration kLeaderCheckInterval = std::chrono::milliseconds(5);

/// The referenced objects are not owned and must outlive this object, which must live until the process ends
/// because its coroutines refer to it.
class LeaderWait {
 public:
  LeaderWait(runtime::Runtime& runtime, const consensus::Consensus& consensus, const LeaderCalls& calls)
      : runtime_(runtime), consensus_(consensus), calls_(calls), leader_known_(runtime) {}

  void stop() { stopping_ = true; }
  /// Returns true if this node is the leader or knows the leader's endpoint.
  [[nodiscard]] bool knows_leader() const;
  /// Waits until a leader is known, for at most kLeaderWaitTimeout.
  Awaitable<void> wait();

 private:
  Awaitable<void> poll_leader();

  runtime::Runtime& runtime_;
  const consensus::Consensus& consensus_;
  const LeaderCalls& calls_;
  runtime::Signal leader_known_;
  bool polling_ = false;
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::control
