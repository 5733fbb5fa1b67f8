// The backend that a read would go to, for tests of what it is chosen by.
#pragma once

#include <memory>
#include <set>

#include "registered/proxy/group/group_access.h"

namespace cairnhollow::registered::proxy {

/// Out of those not in `excluded`; null when none is left.
inline std::shared_ptr<BackendUse> choose_reader(const GroupAccess& group, const ReadNeed& need,
                                                 const std::set<BackendName>& excluded) {
  const PlacementRequest question{&need, &excluded, need.allowed};
  const auto choice = placement::choose_backend(need.primary_only, group.standing.facts(question));
  return choice.backend ? group.backends.at(*choice.backend) : nullptr;
}

}  // namespace cairnhollow::registered::proxy
