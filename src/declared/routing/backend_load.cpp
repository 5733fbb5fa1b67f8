#include "declared/routing/backend_load.h"

#include <algorithm>

namespace cairnhollow::declared::routing {

namespace {

/// Number of consecutive failures after which the hold-off has reached kHoldOffLimit; bounds the shift.
constexpr std::uint32_t kMaximumDoublings = 16;

}  // namespace

BackendLoadTable::Entry& BackendLoadTable::entry(std::uint32_t ordinal) {
  if (ordinal >= entries_.size()) entries_.resize(ordinal + 1);
  return entries_[ordinal];
}

std::uint32_t BackendLoadTable::in_flight(std::uint32_t ordinal) const {
  return ordinal < entries_.size() ? entries_[ordinal].in_flight : 0;
}

void BackendLoadTable::reached(std::uint32_t ordinal) {
  auto& known = entry(ordinal);
  known.failures_in_a_row = 0;
  known.hold_off_until = TimePoint{};
  known.awaits_probe = false;
  ++known.answers;
}

void BackendLoadTable::failed(std::uint32_t ordinal, TimePoint now) {
  auto& known = entry(ordinal);
  const auto doublings = std::min(known.failures_in_a_row, kMaximumDoublings);
  const Duration hold_off = std::min(kHoldOffBase * (std::int64_t{1} << doublings), kHoldOffLimit);
  ++known.failures_in_a_row;
  known.hold_off_until = now + hold_off;
  known.awaits_probe = true;
}

void BackendLoadTable::probe_began(std::uint32_t ordinal, TimePoint now) {
  auto& known = entry(ordinal);
  if (!known.unanswered_since) known.unanswered_since = now;
}

void BackendLoadTable::probe_answered(std::uint32_t ordinal) {
  auto& known = entry(ordinal);
  known.awaits_probe = false;
  known.unanswered_since.reset();
  ++known.answers;
}

bool BackendLoadTable::is_held_off(std::uint32_t ordinal, TimePoint now) const {
  if (ordinal >= entries_.size()) return false;
  const auto& known = entries_[ordinal];
  return known.awaits_probe || known.hold_off_until > now;
}

}  // namespace cairnhollow::declared::routing
