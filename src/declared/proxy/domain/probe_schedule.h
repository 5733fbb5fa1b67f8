// Selects the freshness probes of a round when probing every candidate would exceed the proxy's budget.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "declared/routing/decision.h"

namespace cairnhollow::declared::proxy {

/// A member of an active group that may be probed now. The view it points into must outlive it.
struct ProbeCandidate {
  const routing::GroupView* group = nullptr;
  const routing::BackendView* member = nullptr;
  /// The later of when its position was last learned (from a probe or a statement's answer) and when its last
  /// probe began; empty if neither has happened.
  std::optional<TimePoint> known_at;
  Duration since_read{0};  ///< since the group's last read
};

/// Number of probes that a domain may make in a round if a round begins every `interval`: what its equal
/// part, among the proxy's `domains`, of 1 / kFreshnessProbeCoreDivisor of a core pays for; at least one.
std::size_t probes_per_round(Duration interval, std::size_t domains);

/// Returns all candidates if there are at most `allowed`. Otherwise returns at most `allowed` of those whose
/// position was not learned within `interval`, ordered by the age of the position and by how recently the
/// group was read. With many groups each member is therefore probed less often than once per interval.
std::vector<ProbeCandidate> select_probes(std::vector<ProbeCandidate> candidates, std::size_t allowed,
                                          Duration interval, TimePoint now);

}  // namespace cairnhollow::declared::proxy
