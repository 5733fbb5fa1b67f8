// Replicated log for a handful of control nodes (Raft: Ongaro and Ousterhout, USENIX ATC 2014; section
// numbers in this folder refer to Ongaro's dissertation). Knows nothing of configuration.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/reason.h"
#include "base/types.h"
#include "runtime/awaitable.h"

namespace cairnhollow::consensus {

/// What the log drives. Called on the node's thread, in log order, exactly once per index and process.
class ReplicatedStateMachine {
 public:
  virtual ~ReplicatedStateMachine() = default;
  virtual void apply(std::uint64_t index, const std::string& command) = 0;
  [[nodiscard]] virtual std::string take_snapshot() const = 0;
  virtual bool restore_snapshot(const std::string& bytes, Reason& reason) = 0;
};

enum class MemberRole : std::uint8_t { kVoter = 1, kLearner = 2 };

/// A member of the consensus group. `identity` is new for every fresh disk, so that a wiped voter can
/// never vote under its old one.
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

/// For status pages and metrics.
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

  /// Appends a command; returns its index once it is committed and applied here. kNotLeader: not
  /// appended. kOutcomeUnknown: leadership was lost while it was in flight; it may or may not commit.
  virtual Awaitable<std::optional<std::uint64_t>> propose(std::string command, TimePoint deadline,
                                                          Reason& reason) = 0;
  /// A linearizable read index (section 6.4): a quorum round that began after this call. Works on any
  /// member (a follower asks the leader). Returns once the local state machine has applied it. Calls
  /// made while a round is under way share the next one.
  virtual Awaitable<std::optional<std::uint64_t>> read_barrier(TimePoint deadline, Reason& reason) = 0;

  /// Member changes run on the leader, one at a time (section 4.2): kNotLeader names it where it is known,
  /// kConflict: another change is under way, or the name or endpoint is taken. kOutcomeUnknown: asking again
  /// is safe; a change that is done already succeeds.
  /// A new voter is a learner until it has caught up; kDeadlineExceeded: it has not, and stays a learner. An
  /// empty identity stands for that of the disk now found at the endpoint. A member's new endpoint or zone is
  /// taken over the same way.
  virtual Awaitable<bool> add_member(Member member, TimePoint deadline, Reason& reason) = 0;
  /// A leader may remove itself; it hands over once that is committed.
  virtual Awaitable<bool> remove_member(NodeName node, TimePoint deadline, Reason& reason) = 0;
  /// Puts another machine, or the same one with a new disk, in place of a lost voter: a learner first, then
  /// one joint step (section 4.3), so that a quorum never needs more voters than it did before.
  virtual Awaitable<bool> replace_member(NodeName lost, Member replacement, TimePoint deadline,
                                         Reason& reason) = 0;

  [[nodiscard]] virtual ConsensusStatus status() const = 0;
  /// Whether this node leads, for callers that ask often.
  [[nodiscard]] virtual bool leads() const { return status().state == ServerState::kLeader; }
  [[nodiscard]] virtual std::uint64_t term() const { return status().term; }
};

}  // namespace cairnhollow::consensus
