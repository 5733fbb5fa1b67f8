// Tracks the fence of a failover: which proxies have acknowledged that a group was closed, and the highest
// position up to which each acknowledged commits before that. Pure: no I/O and no clock.
//
// Recording an answer costs one step per group that it names, and querying progress one step per proxy that
// has not answered yet. Closing many groups at once therefore takes groups times proxies steps, not groups
// times proxies squared.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <vector>

#include "registered/registry/messages.h"
#include "registered/registry/model.h"

namespace cairnhollow::registered::control {

/// Progress of the fence of one closed group.
struct FenceProgress {
  bool complete = false;      ///< every admitted proxy has answered, or its lease has certainly expired
  bool all_answered = false;  ///< every admitted proxy has answered
  Position highest_acknowledged;
  std::size_t possible_leaseholders = 0;
  /// Lowest fleet revision that an unanswered proxy has reported to this leader; 0 if one of them has not
  /// reported any. The maximum value if all have answered.
  std::uint64_t min_unresponsive_revision = std::numeric_limits<std::uint64_t>::max();
};

class FenceAcknowledgements {
 public:
  /// State of a proxy that has not answered.
  struct UnresponsiveProxy {
    bool may_hold_lease = false;
    std::uint64_t revision = 0;  ///< fleet revision that it last reported; 0 if none
  };
  using DescribeUnresponsive =
      std::function<UnresponsiveProxy(const NodeName& node, std::uint64_t incarnation)>;

  /// Sets the admitted proxies and their incarnations. Answers from other incarnations do not count.
  void set_proxies(const std::vector<registry::AdmittedProxy>& proxies);
  /// Records a proxy's answer to a close, or what it acknowledged in an open epoch. Returns true if it was
  /// the last answer outstanding for its group.
  bool record(const NodeName& node, std::uint64_t incarnation, const registry::ClosedGroup& closed);
  [[nodiscard]] FenceProgress progress(const GroupName& group, std::uint64_t epoch,
                                       const DescribeUnresponsive& describe_unresponsive);
  /// A commit of the group at this position or after it was acknowledged by some proxy, perhaps one that was
  /// lost since; index 0 if none is known to be.
  [[nodiscard]] Position certainly_acknowledged(const GroupName& group) const;
  /// Discards all answers; keeps the set of proxies and what was certainly acknowledged.
  void clear();

 private:
  struct ProxyAnswers {
    std::uint64_t incarnation = 0;
    std::map<GroupName, registry::ClosedGroup> closed;  ///< latest answer for each group
  };
  /// Fence of one group, created by the first progress() query for its epoch.
  struct GroupFence {
    std::uint64_t epoch = 0;
    std::map<NodeName, std::uint64_t> unresponsive;  ///< incarnations that have not answered
    Position highest_acknowledged;
  };

  GroupFence start_fence(const GroupName& group, std::uint64_t epoch) const;

  std::map<NodeName, std::uint64_t> proxies_;
  std::map<NodeName, ProxyAnswers> answers_;
  std::map<GroupName, GroupFence> fences_;
  std::map<GroupName, Position> certainly_acknowledged_;
};

}  // namespace cairnhollow::registered::control
