// Requirements of a read by which its backend is chosen and queried.
#pragma once

#include <optional>

#include "base/types.h"
#include "registered/locality/permitted_regions.h"

namespace cairnhollow::registered::proxy {

/// A session's latest commit in a group.
struct SessionCommit {
  std::optional<Position> position;  ///< empty: none
  TimePoint at{};
};

/// Requirements of a read on the backend that serves it.
struct ReadNeed {
  bool primary_only = false;
  std::optional<Position> required;  ///< position that a replica must have
  TimePoint required_since{};        ///< when the primary had that position
  /// Regions where it may run, owned by the statement, which must outlive this object. Null: no restriction.
  const locality::PermittedRegions* allowed = nullptr;
};

}  // namespace cairnhollow::registered::proxy
