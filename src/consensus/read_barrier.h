// Linearizable reads without writing to the log (section 6.4).
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "consensus/raft_state.h"
#include "runtime/signal.h"

namespace cairnhollow::consensus {

/// Batches callers into rounds. A round in progress may have begun before a call, so the call joins the next
/// one. At most one round runs at a time.
class ReadBarrier {
 public:
  /// Obtains a read index by a quorum round that begins with the call. Fails immediately if the round cannot
  /// succeed.
  using RoundFunction = std::function<Awaitable<std::optional<std::uint64_t>>(Reason& reason)>;

  ReadBarrier(RaftState& state, RoundFunction run_round);

  /// See Consensus::read_barrier.
  Awaitable<std::optional<std::uint64_t>> wait(TimePoint deadline, Reason& reason);
  /// Re-evaluates waiters after the applied index or the role has changed.
  void notify() { applied_.notify_all(); }

 private:
  struct Round {
    explicit Round(runtime::Runtime& runtime) : changed(runtime) {}
    runtime::Signal changed;
    bool done = false;
    std::optional<std::uint64_t> index;
    Reason reason;
  };

  Awaitable<void> run_rounds();
  Awaitable<bool> wait_applied(std::uint64_t index, TimePoint deadline, Reason& reason);

  RaftState& state_;
  RoundFunction run_round_;
  runtime::Signal applied_;
  std::shared_ptr<Round> next_round_;  ///< not started yet
  bool running_ = false;
};

}  // namespace cairnhollow::consensus
