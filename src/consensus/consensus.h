// Replicated log for a small group of control nodes (Raft: Ongaro and Ousterhout, USENIX ATC 2014; section
// numbers in this folder refer to Ongaro's dissertation). Does not interpret commands.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/reason.h"
#include "base/types.h"
#include "runtime/awaitable.h"

namespace cairnhollow::consensus {

/// The state machine driven by the log. Called on the node's thread, in log order, exactly once per index and
/// process.
class ReplicatedStateMachine {
 public:
  virtual ~ReplicatedStateMachine() = default;
  virtual void apply(std::uint64_t index, const std::string& command) = 0;
  [[nodiscard]] virtual std::string take_snapshot() const = 0;
  virtual bool restore_snapshot(const std::string& bytes, Reason& reason) = 0;
};

enum class MemberRole : std::uint8_t { kVoter = 1, kLearner = 2 };

/// A member of the consensus group. Every new disk gets a new `identity`, so that a voter whose disk was
/// wiped cannot vote under its previous one.
struct Member {
  NodeName node;
  std::string identity;
  Endpoint endpoint;
  ZoneName zone;
  MemberRole role = MemberRole::kVoter;
  auto operator<=>(const Member&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(node, identity, endpoint, zone, role);
  }
};

enum class ServerState : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };

/// Status for status pages and metrics.
struct ConsensusStatus {
  ServerState state = ServerState::kFollower;
  std::uint64_t term = 0;
  NodeName leader;  ///< empty when unknown
  std::uint64_t last_index = 0;
  std::uint64_t commit_index = 0;
  std::uint64_t applied_index = 0;
  std::uint64_t snapshot_index = 0;
  std::vector<Member> members;
};

class Consensus {
 public:
  virtual ~Consensus() = default;

  /// Appends a command and returns its index once it is committed and applied locally. kNotLeader: not
  /// appended. kOutcomeUnknown: leadership was lost while the command was in flight; it may or may not
  /// commit.
  virtual Awaitable<std::optional<std::uint64_t>> propose(std::string command, TimePoint deadline,
                                                          Reason& reason) = 0;
  /// Returns a linearizable read index (section 6.4), confirmed by a quorum round that began after this call,
  /// once the local state machine has applied it. Works on any member: a follower asks the leader. Calls made
  /// while a round is in progress share the next round.
  virtual Awaitable<std::optional<std::uint64_t>> read_barrier(TimePoint deadline, Reason& reason) = 0;

  /// Membership changes run on the leader, one at a time (section 4.2). kNotLeader names the leader if known.
  /// kConflict: another change is in progress, or the name or endpoint is in use. After kOutcomeUnknown the
  /// call can be retried safely; a change that is already complete succeeds. A new voter is a learner until
  /// it has caught up; if it does not catch up in time the call fails with kDeadlineExceeded and it stays a
  /// learner. An empty identity means the identity of the disk found at the endpoint. A member's new endpoint
  /// or zone is set by the same call.
  virtual Awaitable<bool> add_member(Member member, TimePoint deadline, Reason& reason) = 0;
  /// A leader may remove itself; it transfers leadership once the removal is committed.
  virtual Awaitable<bool> remove_member(NodeName node, TimePoint deadline, Reason& reason) = 0;
  /// Replaces a lost voter by another machine, or by the same one with a new disk. The replacement joins as a
  /// learner and becomes a voter in one joint consensus step (section 4.3), so that the quorum size never
  /// grows.
  virtual Awaitable<bool> replace_member(NodeName lost, Member replacement, TimePoint deadline,
                                         Reason& reason) = 0;

  [[nodiscard]] virtual ConsensusStatus status() const = 0;
  /// Returns whether this node is the leader. Cheaper than status(), for frequent calls.
  [[nodiscard]] virtual bool leads() const { return status().state == ServerState::kLeader; }
  [[nodiscard]] virtual std::uint64_t term() const { return status().term; }
};

}  // namespace cairnhollow::consensus
