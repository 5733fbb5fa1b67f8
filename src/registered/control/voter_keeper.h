// Maintains the number of consensus voters required to tolerate the configured disk failures. Active on the
// leader only.
//
// A voter is replaced by a control node that stands by when it is lost, when it is stopping, and when a new
// control node offers to take its vote over. The last two come first: a machine that is removed for good,
// with or without notice, then has no vote any more, so that the next loss is borne as well.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "consensus/consensus.h"
#include "registered/control/control_node_directory.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::control {

/// The referenced objects are not owned and must outlive this object, which must live until the process ends
/// because its coroutine refers to it.
class VoterKeeper {
 public:
  VoterKeeper(runtime::Runtime& runtime, consensus::Consensus& consensus,
              const ControlNodeDirectory& directory, std::uint32_t lost_disks_tolerated);

  void start();
  void stop() { stopping_ = true; }
  /// Returns true if the group has the required number of voters. Before that, an acknowledged write might
  /// not survive the tolerated disk failures.
  [[nodiscard]] bool has_required_voters() const;
  /// Replaces a control node that is stopping, which may be this one. Returns true once it has no vote; false
  /// if this node does not lead, no other control node could take the vote over (kNotFound), or the deadline
  /// passed.
  Awaitable<bool> release(consensus::Member stopping, TimePoint deadline, Reason& reason);
  /// Records that a control node that has never been a member offers to vote.
  void record_offer(const consensus::Member& newcomer) { offers_.insert({newcomer.node, newcomer.identity}); }

 private:
  struct Change {
    std::optional<consensus::Member> lost;  ///< std::nullopt if a voter is only added
    consensus::Member standby;
  };

  Awaitable<void> run();
  /// Records which voters are alive. Must run at every check, also during a change.
  void observe(const consensus::ConsensusStatus& status, TimePoint now);
  [[nodiscard]] std::optional<Change> find_change(const consensus::ConsensusStatus& status, TimePoint now);
  [[nodiscard]] std::optional<consensus::Member> find_lost_voter(const consensus::ConsensusStatus& status,
                                                                 TimePoint now) const;
  /// Returns the change by which a newcomer takes over the vote of a control node in its zone.
  std::optional<Change> find_succession(const consensus::ConsensusStatus& status, TimePoint now);
  [[nodiscard]] std::optional<consensus::Member> find_standby(const consensus::ConsensusStatus& status,
                                                              const consensus::Member* lost,
                                                              TimePoint now) const;
  Awaitable<void> run_change(Change change);
  /// At most one at a time. Returns true if the change is committed.
  Awaitable<bool> apply_change(Change change);

  runtime::Runtime& runtime_;
  consensus::Consensus& consensus_;
  const ControlNodeDirectory& directory_;
  std::size_t required_voters_;
  std::map<NodeName, TimePoint> last_seen_;
  TimePoint last_check_{};
  /// Name and identity of newcomers whose offers have not been decided yet.
  std::set<std::pair<NodeName, std::string>> offers_;
  bool changing_ = false;
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::control
