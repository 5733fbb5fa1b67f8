// Which freshness probes a round makes when all that are wanted would cost more than a proxy may spend on
// them.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "declared/routing/decision.h"

namespace cairnhollow::declared::proxy {

/// A member of an active group that could be probed now. The view that it comes from outlives it.
struct ProbeCandidate {
  const routing::GroupView* group = nullptr;
  const routing::BackendView* member = nullptr;
  /// When its position was last learned, by a probe or by a statement's answer, or a probe of it last began;
  /// empty when neither ever happened.
  std::optional<TimePoint> known_at;
  Duration since_read{0};  ///< since the group's last read
};

/// Probes that a round of one domain may make when one begins each `interval`: what kFreshnessProbeShare of a
/// core, divided by the proxy's `domains`, pays for, at least one.
std::size_t probes_a_round(Duration interval, std::size_t domains);

/// All candidates when they are at most `allowed`. Otherwise at most `allowed` of those whose position was
/// not learned within `interval`: the longer ago it was learned and the more lately the group was read, the
/// sooner. With many groups, each member's turn so comes more rarely than once an interval.
std::vector<ProbeCandidate> pick_probes(std::vector<ProbeCandidate> candidates, std::size_t allowed,
                                        Duration interval, TimePoint now);

}  // namespace cairnhollow::declared::proxy
