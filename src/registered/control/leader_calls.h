// RPCs from control nodes to the leader: log commands and presence reports.
#pragma once

#include <array>
#include <cstdint>
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

/// Timeout for committing a command or for a quorum round on behalf of a caller.
inline constexpr Duration kCommitTimeout = std::chrono::milliseconds(800);

/// Client and server side of the RPCs. The referenced objects are not owned and must outlive this object,
/// which must live until the process ends because its coroutines refer to it.
class LeaderCalls {
 public:
  LeaderCalls(runtime::Runtime& runtime, consensus::Consensus& consensus, ControlNodeDirectory& directory,
              NodeName node, Endpoint own_endpoint);

  /// Submits a command to the log, directly or through the leader. Returns true once it is committed and
  /// applied on the node that proposed it; its effect is visible in the state machine.
  Awaitable<bool> submit(registry::Command command, Reason& reason);
  /// Like submit(), but never through another leader: fails with kNotLeader if this node does not lead.
  /// For commands that must not be committed later than a command that this node submits afterwards.
  Awaitable<bool> propose_as_leader(registry::Command command, Reason& reason);
  /// Like submit(), but batches commands that arrive within 20 ms of each other into one log entry. For
  /// commands that many backends and proxies may send at the same time.
  Awaitable<bool> submit_batched(registry::SingleCommand command, Reason& reason);
  /// Like submit_batched(), but never through another leader: fails with kNotLeader if this node does not
  /// lead. For what this node decided as the leader, since its successor decides by what it knows itself.
  Awaitable<bool> propose_batched(registry::SingleCommand command, Reason& reason);
  /// Starts periodic presence reports to the current leader. `self` carries this node's identity. A node that
  /// `may_offer` and has never been a member of the consensus group offers to vote.
  void announce(consensus::Member self, bool may_offer);
  /// Must be set before serve() is called. Both run on the leader: `on_release` replaces a voter that is
  /// stopping, `on_offer` records a newcomer's offer to vote.
  using OnRelease = std::function<Awaitable<bool>(consensus::Member, TimePoint deadline, Reason&)>;
  using OnOffer = std::function<void(const consensus::Member&)>;
  void on_votes(OnRelease on_release, OnOffer on_offer) {
    on_release_ = std::move(on_release);
    on_offer_ = std::move(on_offer);
  }
  /// Ends the presence reports, and has this node replaced as a voter if it is one. Tries until it has no
  /// vote, no other control node could take it over, or `deadline` passes. Returns true if it has no vote.
  Awaitable<bool> release_vote(consensus::Member self, TimePoint deadline, Reason& reason);
  void stop() { stopping_ = true; }

  /// Serves one incoming connection until it closes.
  Awaitable<void> serve(std::shared_ptr<runtime::FrameConnection> connection);
  /// Returns std::nullopt if no leader is known.
  [[nodiscard]] std::optional<Endpoint> leader_endpoint() const;

 private:
  struct Link {
    Endpoint endpoint;
    std::shared_ptr<runtime::FrameConnection> connection;
  };

  /// Commands submitted as one log entry, and their shared outcome.
  struct Batch {
    explicit Batch(runtime::Runtime& runtime) : completion(runtime) {}
    std::vector<registry::SingleCommand> commands;
    bool is_complete = false;
    bool done = false;
    Reason reason;
    runtime::Signal completion;
  };

  /// Commands for the leader, whichever node it is, or for this node while it leads.
  enum class Proposer : std::uint8_t { kAnyNode, kThisNode };
  struct OpenBatch {
    std::shared_ptr<Batch> batch;  ///< accepts further commands; null if none
    TimePoint last_submitted_at{};
  };

  Awaitable<bool> add_to_batch(Proposer proposer, registry::SingleCommand command, Reason& reason);
  Awaitable<void> submit_batch(Proposer proposer, std::shared_ptr<Batch> batch);
  OpenBatch& open_batch(Proposer proposer) { return open_batches_[static_cast<std::size_t>(proposer)]; }
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
  Awaitable<void> offer_vote(Endpoint leader, consensus::Member self);
  /// Runs on the leader.
  Awaitable<bool> replace_stopping(consensus::Member stopping, TimePoint deadline, Reason& reason);
  /// One attempt, at the leader that is known.
  Awaitable<bool> release_vote_once(consensus::Member self, TimePoint deadline, Reason& reason);
  /// Returns the leader's endpoint as far as it is known. A node that is not a member of the consensus group
  /// knows it from its presence reports only.
  [[nodiscard]] std::optional<Endpoint> known_leader() const {
    const auto leader = leader_endpoint();
    return leader ? leader : hinted_leader_;
  }
  [[nodiscard]] bool leads() const;
  [[nodiscard]] Reason not_leader() const;

  runtime::Runtime& runtime_;
  consensus::Consensus& consensus_;
  ControlNodeDirectory& directory_;
  NodeName node_;
  Endpoint own_endpoint_;
  std::array<OpenBatch, 2> open_batches_;  ///< by Proposer
  std::deque<Link> idle_links_;
  std::optional<Endpoint> hinted_leader_;
  std::size_t next_endpoint_ = 0;
  OnRelease on_release_;
  OnOffer on_offer_;
  bool announcing_ = true;
  bool may_offer_ = false;
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::control
