#include "declared/routing/freshness.h"

#include <algorithm>

namespace cairnhollow::declared::routing {

namespace {

/// An observation that lowers the lag estimate has a weight of one part in kLagSmoothing.
constexpr int kLagSmoothing = 4;

/// Bounds on a backend's replication lag from one observation. `at_least`: how long the primary has had a
/// position that the backend lacks. `at_most`: the maximum time since the commit of a position that the
/// backend has applied. The time at which the primary was first seen at a position is not an upper bound,
/// because writes sent by other proxies are seen late.
struct LagBounds {
  Duration at_least{0};
  std::optional<Duration> at_most;
};

/// Moves the estimate only if a bound contradicts it: a backend that is up to date because its primary is
/// idle gives no evidence of a low lag. Raises the estimate at once, because a read sent too early waits in
/// vain and few observations give a lower bound that tight.
Duration adjusted_lag(Duration lag, const LagBounds& bounds) {
  if (lag < bounds.at_least) return bounds.at_least;
  if (bounds.at_most && *bounds.at_most < lag) return lag + (*bounds.at_most - lag) / kLagSmoothing;
  return lag;
}

constexpr auto kBelowSample = [](const Position& position, const auto& sample) {
  return position < sample.position;
};
constexpr auto kSampleBelow = [](const auto& sample, const Position& position) {
  return sample.position < position;
};

}  // namespace

const FreshnessTable::PrimarySamples* FreshnessTable::samples_of(const GroupName& group) const {
  const auto found = primaries_.find(group);
  return found == primaries_.end() ? nullptr : &found->second;
}

Duration FreshnessTable::time_behind(const GroupName& group, Position position, TimePoint now) const {
  const auto* samples = samples_of(group);
  if (samples == nullptr) return Duration(0);
  const auto beyond = std::upper_bound(samples->begin(), samples->end(), position, kBelowSample);
  if (beyond == samples->end()) return Duration(0);
  return std::max(Duration(0), now - beyond->first_seen);
}

std::optional<TimePoint> FreshnessTable::committed_after(const GroupName& group, Position before,
                                                         Position applied) const {
  std::optional<TimePoint> latest;
  if (applied <= before) return latest;
  if (const auto* samples = samples_of(group)) {
    const auto reached = std::lower_bound(samples->begin(), samples->end(), applied, kSampleBelow);
    if (reached != samples->begin()) latest = std::prev(reached)->last_seen;
  }
  if (const auto writes = writes_.find(group); writes != writes_.end()) {
    const auto& sent = writes->second;
    const auto beyond = std::upper_bound(sent.begin(), sent.end(), applied, kBelowSample);
    const bool applied_one = beyond != sent.begin() && before < std::prev(beyond)->position;
    if (applied_one) latest = std::max(latest.value_or(TimePoint::min()), std::prev(beyond)->asked_at);
  }
  return latest;
}

void FreshnessTable::observe_backend(const GroupName& group, std::uint32_t ordinal, Position position,
                                     TimePoint now) {
  if (ordinal >= backends_.size()) backends_.resize(ordinal + 1);
  auto& known = backends_[ordinal];
  if (position < known.applied) return;  // ignores answers that arrive out of order
  LagBounds bounds{time_behind(group, position, now), std::nullopt};
  if (const auto committed = committed_after(group, known.applied, position)) {
    bounds.at_most = std::max(Duration(0), now - *committed);
  }
  known.applied = position;
  known.learned_at = now;
  known.estimated_lag = known.estimated_lag ? adjusted_lag(*known.estimated_lag, bounds) : bounds.at_least;
}

void FreshnessTable::observe_primary(const GroupName& group, Position position, TimePoint seen_at) {
  auto& samples = primaries_[group];
  if (samples.empty()) {
    samples.push_back(PrimarySample{position, seen_at, seen_at});
    return;
  }
  auto& newest = samples.back();
  if (position < newest.position) return;  // ignores answers that arrive out of order
  // Positions in quick succession share a sample, which can only overstate the age of data between them.
  if (position == newest.position || seen_at < newest.first_seen + kPrimarySampleInterval) {
    newest.position = position;
    newest.last_seen = std::max(newest.last_seen, seen_at);
    return;
  }
  samples.push_back(PrimarySample{position, seen_at, seen_at});
  if (samples.size() > kMaximumPrimarySamples) samples.pop_front();
}

void FreshnessTable::observe_write(const GroupName& group, Position position, TimePoint asked_at) {
  auto& writes = writes_[group];
  if (!writes.empty() && position <= writes.back().position)
    return;  // ignores answers that arrive out of order
  writes.push_back(WriteSample{position, asked_at});
  if (writes.size() > kMaximumWriteSamples) writes.pop_front();
}

Position FreshnessTable::applied(std::uint32_t ordinal) const {
  return ordinal < backends_.size() ? backends_[ordinal].applied : Position{};
}

std::optional<TimePoint> FreshnessTable::learned_at(std::uint32_t ordinal) const {
  return ordinal < backends_.size() ? backends_[ordinal].learned_at : std::nullopt;
}

std::optional<Duration> FreshnessTable::age_of(const GroupName& group, Position position,
                                               TimePoint now) const {
  const auto* samples = samples_of(group);
  if (samples == nullptr) return std::nullopt;
  const auto beyond = std::upper_bound(samples->begin(), samples->end(), position, kBelowSample);
  if (beyond == samples->begin()) return std::nullopt;
  return std::max(Duration(0), now - std::prev(beyond)->last_seen);
}

std::optional<TimePoint> FreshnessTable::first_seen(const GroupName& group, Position position) const {
  const auto writes = writes_.find(group);
  if (writes != writes_.end()) {
    const auto own = std::lower_bound(writes->second.begin(), writes->second.end(), position, kSampleBelow);
    if (own != writes->second.end() && own->position == position) return own->asked_at;
  }
  const auto* samples = samples_of(group);
  if (samples == nullptr) return std::nullopt;
  const auto reached = std::lower_bound(samples->begin(), samples->end(), position, kSampleBelow);
  if (reached == samples->end()) return std::nullopt;
  return reached->first_seen;
}

std::optional<Duration> FreshnessTable::estimated_lag(std::uint32_t ordinal) const {
  return ordinal < backends_.size() ? backends_[ordinal].estimated_lag : std::nullopt;
}

Position FreshnessTable::primary_position(const GroupName& group) const {
  const auto* samples = samples_of(group);
  return samples == nullptr || samples->empty() ? Position{} : samples->back().position;
}

}  // namespace cairnhollow::declared::routing
