// Maintains the number of consensus voters required to tolerate the configured disk failures, replacing lost
// voters by live control nodes. Active on the leader only.
#pragma once

#include <map>
#include <optional>

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

 private:
  struct Change {
    std::optional<consensus::Member> lost;  ///< std::nullopt if a voter is only added
    consensus::Member standby;
  };

  Awaitable<void> run();
  std::optional<Change> find_change(TimePoint now);
  std::optional<consensus::Member> find_lost_voter(const consensus::ConsensusStatus& status, TimePoint now);
  [[nodiscard]] std::optional<consensus::Member> find_standby(const consensus::ConsensusStatus& status,
                                                              const consensus::Member* lost,
                                                              TimePoint now) const;
  Awaitable<void> apply_change(Change change);

  runtime::Runtime& runtime_;
  consensus::Consensus& consensus_;
  const ControlNodeDirectory& directory_;
  std::size_t required_voters_;
  std::map<NodeName, TimePoint> last_seen_;
  TimePoint last_check_{};
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::control
