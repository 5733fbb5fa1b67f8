// Chooses the backend for a read, for tests of the facts that the choice is based on.
#pragma once

#include <memory>
#include <set>

#include "registered/proxy/group/group_access.h"

namespace cairnhollow::registered::proxy {

/// Chooses among the backends that are not in `excluded`; returns null if none is eligible.
inline std::shared_ptr<BackendState> choose_reader(const GroupAccess& group, const ReadNeed& need,
                                                   const std::set<BackendName>& excluded) {
  const PlacementRequest request{&need, &excluded, need.allowed};
  const auto choice = placement::choose_backend(need.primary_only, group.evaluator.facts(request));
  return choice.backend ? group.backends.at(*choice.backend) : nullptr;
}

}  // namespace cairnhollow::registered::proxy
