// What this proxy is doing with each backend, as far as the choice of one needs it.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/types.h"

namespace cairnhollow::declared::routing {

/// A backend that could not be reached is not chosen for reads for this long, doubled with each failure
/// in a row up to the limit, and not before it has answered a probe: no caller's read tries it out.
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
  /// The backend answered a status probe.
  void probe_answered(std::uint32_t ordinal);
  /// When the oldest probe began since which none was answered; empty when the last one was, or none was
  /// made.
  [[nodiscard]] std::optional<TimePoint> unanswered_since(std::uint32_t ordinal) const {
    return ordinal < entries_.size() ? entries_[ordinal].unanswered_since : std::nullopt;
  }
  /// Answers of the backend so far, to statements and probes.
  [[nodiscard]] std::uint64_t answers(std::uint32_t ordinal) const {
    return ordinal < entries_.size() ? entries_[ordinal].answers : 0;
  }
  /// Whether reads pass over the backend: it failed a moment ago, or has not answered a probe since.
  [[nodiscard]] bool held_off(std::uint32_t ordinal, TimePoint now) const;

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
