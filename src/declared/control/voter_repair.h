// Puts a standby in the place of a voter that stays lost, or the node itself when it came back with an empty
// disk, so that the quorum does not wear down.
#pragma once

#include <map>
#include <optional>

#include "consensus/consensus.h"
#include "declared/control/news/peer_directory.h"
#include "declared/control/operator/event_log.h"
#include "runtime/signal.h"

namespace cairnhollow::declared::control {

/// Acts on the leader only, one voter at a time. What it refers to outlives it; it lives until the process
/// ends.
class VoterRepair {
 public:
  VoterRepair(runtime::Runtime& runtime, consensus::Consensus& consensus, const PeerDirectory& peers,
              EventLog& events);

  void start();
  void stop();

 private:
  Awaitable<void> run();
  /// Notes who is heard. Empty while this node does not lead or nobody is lost.
  std::optional<consensus::Member> find_lost(TimePoint now);
  /// The voter's node lives, on an empty disk under a new identity.
  [[nodiscard]] bool is_wiped(const consensus::Member& voter, TimePoint now) const;
  [[nodiscard]] std::optional<consensus::Member> find_standby(const consensus::Member& lost,
                                                              TimePoint now) const;
  Awaitable<void> replace(consensus::Member lost, consensus::Member standby);

  runtime::Runtime& runtime_;
  consensus::Consensus& consensus_;
  const PeerDirectory& peers_;
  EventLog& events_;
  runtime::Signal wake_;
  std::map<NodeName, TimePoint> heard_at_;  ///< voters, as long as this node leads
  TimePoint last_look_{};
  bool stopping_ = false;
};

}  // namespace cairnhollow::declared::control
