// Which promotion orders came to the platform, which promotions took effect, and what must never be among
// them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/types.h"
#include "standins/registered/group_model.h"
#include "standins/registered/session_history.h"

namespace cairnhollow::standins::registered {

/// One promotion order as it came to the platform.
struct PromotionArrival {
  GroupName group;
  BackendName backend;
  NodeName holder;  ///< that the order names
  std::uint64_t fencing = 0;
  TimePoint at{};
  unsigned status = 0;  ///< HTTP status of the answer; 0: not answered yet
};

/// The moment from which a backend leads its group.
struct PromotionEffect {
  GroupName group;
  BackendName backend;
  TimePoint at{};
  std::vector<std::string> lacking;  ///< find_lacking_commits() at that moment
};

/// Filled by the stand-in of the promotion call, judged at the end.
struct PromotionHistory {
  std::vector<PromotionArrival> arrivals;  ///< in the order in which they arrived
  std::vector<PromotionEffect> effects;    ///< in the order in which they took effect
};

/// Each commit that was acknowledged to a caller at `at` or before and that the log lacks, as "record token".
std::vector<std::string> find_lacking_commits(const std::vector<Attempt>& attempts,
                                              const std::vector<LogEntry>& log, TimePoint at);

/// Every violation, in words. "ONE": an order with a fencing token below one that had arrived for the same
/// group, or with the token of another holder. "LOST": a promotion whose log lacks acknowledged commits; each
/// commit counts at the first of them.
std::vector<std::string> find_promotion_violations(const PromotionHistory& history);

}  // namespace cairnhollow::standins::registered
