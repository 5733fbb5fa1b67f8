// Tracks the load, failures and probes of each backend as seen by this proxy, for backend selection.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/types.h"

namespace cairnhollow::declared::routing {

/// After a backend could not be reached, reads skip it for this long, doubled with each consecutive failure
/// up to kHoldOffLimit, and until it has answered a probe, so that no caller's read is used as the probe.
inline constexpr Duration kHoldOffBase = std::chrono::milliseconds(100);
inline constexpr Duration kHoldOffLimit = std::chrono::seconds(2);

/// Indexed by BackendView::ordinal.
class BackendLoadTable {
 public:
  void statement_started(std::uint32_t ordinal) { ++entry(ordinal).in_flight; }
  void statement_ended(std::uint32_t ordinal) { --entry(ordinal).in_flight; }
  [[nodiscard]] std::uint32_t in_flight(std::uint32_t ordinal) const;

  void reached(std::uint32_t ordinal);
  void failed(std::uint32_t ordinal, TimePoint now);
  void probe_began(std::uint32_t ordinal, TimePoint now);
  /// Records that the backend answered a status probe.
  void probe_answered(std::uint32_t ordinal);
  /// Start of the oldest probe since the last answered one. Returns std::nullopt if the last probe was
  /// answered or none was sent.
  [[nodiscard]] std::optional<TimePoint> unanswered_since(std::uint32_t ordinal) const {
    return ordinal < entries_.size() ? entries_[ordinal].unanswered_since : std::nullopt;
  }
  /// Number of statements and probes that the backend has answered so far.
  [[nodiscard]] std::uint64_t answers(std::uint32_t ordinal) const {
    return ordinal < entries_.size() ? entries_[ordinal].answers : 0;
  }
  /// Whether reads skip the backend: it failed recently, or has not answered a probe since the failure.
  [[nodiscard]] bool is_held_off(std::uint32_t ordinal, TimePoint now) const;

 private:
  struct Entry {
    std::uint32_t in_flight = 0;
    std::uint32_t failures_in_a_row = 0;
    std::uint64_t answers = 0;
    std::optional<TimePoint> unanswered_since;
    TimePoint hold_off_until{};
    bool awaits_probe = false;
  };
  Entry& entry(std::uint32_t ordinal);

  std::vector<Entry> entries_;
};

}  // namespace cairnhollow::declared::routing
