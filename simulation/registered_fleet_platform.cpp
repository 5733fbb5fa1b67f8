// RegisteredFleet's part for the promotion call of the platform.
#include "simulation/registered_fleet.h"
#include "simulation/registered_fleet_ports.h"
#include "standins/registered/document_text.h"

namespace cairnhollow::simulation {

using namespace standins::registered;

void RegisteredFleet::start_promotion_call() {
  std::vector<PromotedGroup> groups;
  for (const auto& model : models_) groups.push_back({model.get(), nullptr});
  groups.front().attempts = &history_;  // all databases are in the first group
  world_.start({kPromotionCall, kPromotionAddress, ZoneName(kZones[0])},
               [this, groups](runtime::Runtime& runtime) {
                 const PromotionCallSettings settings{{kPromotionAddress, kOperatorPort}};
                 auto role = make_promotion_call(runtime, groups, settings, promotion_history_);
                 promotion_call_ = role.get();
                 return role;
               });
}

void RegisteredFleet::cut_from_platform(const std::string& control) { cut(control, kPromotionCall); }

}  // namespace cairnhollow::simulation
