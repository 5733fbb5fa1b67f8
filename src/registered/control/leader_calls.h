// Calls from control nodes to the leader: commands for the log, and word that a node lives.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "consensus/consensus.h"
#include "registered/control/control_node_directory.h"
#include "registered/registry/messages.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"
#include "wire/hello.h"

namespace cairnhollow::registered::control {

/// Longest wait for a command to be committed, or for a quorum round, on behalf of a caller. Chosen, not
/// measured.
inline constexpr Duration kCommitTimeout = std::chrono::milliseconds(800);

/// Both sides. What it refers to outlives it; it lives until the process ends.
class LeaderCalls {
 public:
  LeaderCalls(runtime::Runtime& runtime, consensus::Consensus& consensus, ControlNodeDirectory& directory,
              NodeName node, Endpoint own_endpoint);

  /// Puts a command into the log, here or through the leader. True once it is committed and applied at the
  /// node that proposed it; its effect is found in the state machine.
  Awaitable<bool> submit(registry::Command command, Reason& reason);
  /// The same for what many backends and proxies may say at once: commands that come within 20 ms of
  /// each other go as one entry of the log.
  Awaitable<bool> submit_gathered(registry::SingleCommand command, Reason& reason);
  /// Tells the leader, whoever it is, again and again, that this node lives under `identity`.
  void announce(consensus::Member self);
  void stop() { stopping_ = true; }

  /// Serves one incoming connection until it ends.
  Awaitable<void> serve(std::shared_ptr<runtime::FrameConnection> connection);
  /// Where the leader listens; empty while none is known.
  [[nodiscard]] std::optional<Endpoint> leader_endpoint() const;

 private:
  struct Link {
    Endpoint endpoint;
    std::shared_ptr<runtime::FrameConnection> connection;
  };

  /// Commands that go together, and their common outcome.
  struct Batch {
    explicit Batch(runtime::Runtime& runtime) : ended(runtime) {}
    std::vector<registry::SingleCommand> commands;
    bool is_over = false;
    bool done = false;
    Reason reason;
    runtime::Signal ended;
  };

  Awaitable<void> submit_batch(std::shared_ptr<Batch> batch);
  Awaitable<bool> propose(registry::Command command, Reason& reason);
  Awaitable<bool> submit_to_leader(registry::Command command, Reason& reason);
  Awaitable<std::optional<registry::ControlAnswer>> call(Endpoint endpoint, registry::ControlCall call,
                                                         TimePoint deadline, Reason& reason);
  Awaitable<std::shared_ptr<runtime::FrameConnection>> connect(Endpoint endpoint, TimePoint deadline,
                                                               Reason& reason);
  Awaitable<registry::ControlAnswer> answer(registry::ControlCall call);
  Awaitable<void> close_at(std::shared_ptr<runtime::FrameConnection> connection, TimePoint deadline,
                           std::shared_ptr<bool> done);
  Awaitable<void> run_announcements(consensus::Member self);
  Awaitable<void> announce_once(consensus::Member self);
  [[nodiscard]] bool leads() const;
  [[nodiscard]] Reason not_leader() const;

  runtime::Runtime& runtime_;
  consensus::Consensus& consensus_;
  ControlNodeDirectory& directory_;
  NodeName node_;
  Endpoint own_endpoint_;
  std::shared_ptr<Batch> gathering_;  ///< takes further commands; null: none is being gathered
  TimePoint last_gathered_{};
  std::deque<Link> idle_;
  std::optional<Endpoint> hinted_leader_;
  std::size_t next_endpoint_ = 0;
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::control
