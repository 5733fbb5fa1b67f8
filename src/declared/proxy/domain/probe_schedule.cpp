#include "declared/proxy/domain/probe_schedule.h"

#include <algorithm>

#include "declared/proxy/knobs.h"

namespace cairnhollow::declared::proxy {

namespace {

Duration age_of(const ProbeCandidate& candidate, TimePoint now) {
  return candidate.known_at ? std::min<Duration>(now - *candidate.known_at, kUnknownPositionAge)
                            : kUnknownPositionAge;
}

/// Age of the position relative to the time since the group's last read: the longer ago the read, the rarer
/// its probes.
double urgency_of(const ProbeCandidate& candidate, TimePoint now) {
  const Duration read = std::clamp<Duration>(candidate.since_read, Duration(0), kGroupActivityTime);
  return static_cast<double>(age_of(candidate, now).count()) /
         static_cast<double>((read + kRecentReadTime).count());
}

}  // namespace

std::size_t probes_per_round(Duration interval, std::size_t domains) {
  const auto domain_count = static_cast<std::int64_t>(std::max<std::size_t>(1, domains));
  const auto affordable = interval / (kFreshnessProbeCost * kFreshnessProbeCoreDivisor * domain_count);
  return std::max<std::size_t>(1, static_cast<std::size_t>(affordable));
}

std::vector<ProbeCandidate> select_probes(std::vector<ProbeCandidate> candidates, std::size_t allowed,
                                          Duration interval, TimePoint now) {
  if (candidates.size() <= allowed) return candidates;
  std::erase_if(candidates,
                [&](const ProbeCandidate& candidate) { return age_of(candidate, now) < interval; });
  std::stable_sort(candidates.begin(), candidates.end(), [now](const auto& left, const auto& right) {
    return urgency_of(left, now) > urgency_of(right, now);
  });
  if (candidates.size() > allowed) candidates.resize(allowed);
  return candidates;
}

}  // namespace cairnhollow::declared::proxy
