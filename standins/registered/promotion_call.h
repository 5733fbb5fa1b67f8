// Stand-in of the platform's call that makes a backend the primary of its group. It doesn't look at fencing
// tokens: the order in which calls arrive decides. The present primary is answered with 200 and nothing
// changes; a backend that doesn't run is answered with 409.
#pragma once

#include <memory>
#include <vector>

#include "runtime/role.h"
#include "runtime/runtime.h"
#include "standins/registered/group_model.h"
#include "standins/registered/promotion_history.h"

namespace cairnhollow::standins::registered {

/// One group whose backends may be promoted.
struct PromotedGroup {
  GroupModel* model = nullptr;
  const std::vector<Attempt>* attempts = nullptr;  ///< of the group's callers; null: it has none
};

struct PromotionCallSettings {
  Endpoint endpoint;
  Duration takes = std::chrono::milliseconds(300);  ///< from the answer 200 until the backend leads
};

class PromotionCall : public runtime::Role {
 public:
  /// Orders that arrive from now on are held for a time drawn from [`shortest`, `longest`), then processed
  /// and answered, whether or not their sender still waits. With zeros, which is the default, they are
  /// processed at once.
  virtual void hold_orders(Duration shortest, Duration longest) = 0;
};

/// Arrivals and effects are added to `history`, and logged. Whatever is referred to outlives the object.
std::unique_ptr<PromotionCall> make_promotion_call(runtime::Runtime& runtime,
                                                   std::vector<PromotedGroup> groups,
                                                   PromotionCallSettings settings, PromotionHistory& history);

}  // namespace cairnhollow::standins::registered
