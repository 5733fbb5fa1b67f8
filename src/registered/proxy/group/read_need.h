// What a read must see, as far as a backend can be chosen and asked by it.
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

/// What a read needs of the backend that serves it.
struct ReadNeed {
  bool primary_only = false;
  std::optional<Position> required;  ///< of a replica
  TimePoint required_since{};        ///< when the primary had that position
  /// Where it may run; the statement's, which outlives this. Null: anywhere.
  const locality::PermittedRegions* allowed = nullptr;
};

}  // namespace cairnhollow::registered::proxy
