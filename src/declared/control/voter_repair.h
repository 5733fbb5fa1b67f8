// Replaces a lost voter of the consensus group by a standby, or by the node itself if it restarted with an
// empty disk, so that successive losses do not cost the quorum.
#pragma once

#include <map>
#include <optional>

#include "consensus/consensus.h"
#include "declared/control/news/peer_directory.h"
#include "declared/control/operator/event_log.h"
#include "runtime/signal.h"

namespace cairnhollow::declared::control {

/// Acts only on the leader, and replaces one voter at a time. Objects passed by reference must outlive this
/// object, which must live until the process ends.
class VoterRepair {
 public:
  VoterRepair(runtime::Runtime& runtime, consensus::Consensus& consensus, const PeerDirectory& peers,
              EventLog& events);

  void start();
  void stop();

 private:
  Awaitable<void> run();
  /// Updates heard_at_ and returns a lost voter; std::nullopt if this node is not the leader or no voter is
  /// lost.
  std::optional<consensus::Member> find_lost_voter(TimePoint now);
  /// Returns true if the node of this voter is live under a new identity, that is, with an empty disk.
  [[nodiscard]] bool is_wiped(const consensus::Member& voter, TimePoint now) const;
  [[nodiscard]] std::optional<consensus::Member> find_standby(const consensus::Member& lost,
                                                              TimePoint now) const;
  Awaitable<void> replace(consensus::Member lost, consensus::Member standby);

  runtime::Runtime& runtime_;
  consensus::Consensus& consensus_;
  const PeerDirectory& peers_;
  EventLog& events_;
  runtime::Signal wake_;
  /// When each voter was last heard from. Cleared when this node is not the leader or after it was stalled.
  std::map<NodeName, TimePoint> heard_at_;
  TimePoint last_check_at_{};
  bool stopping_ = false;
};

}  // namespace cairnhollow::declared::control
