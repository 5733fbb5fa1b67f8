// Detects that a member's log became shorter within a term, which shows that the member has restarted.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/types.h"

namespace cairnhollow::registered::proxy {

/// Entries of an open term are never removed. A member that shows fewer than before has lost its log, and may
/// report its restart only later, with its next registration.
class LogRegressionDetector {
 public:
  /// Records that the member showed `position` in `term`, the open one. Returns false if that is lower than
  /// before.
  bool record(std::uint64_t term, Position position) {
    if (term != term_) highest_ = Position{};
    term_ = term;
    // Entries of earlier terms may still be rolled back.
    if (position.term != term) return highest_.index == 0;
    const bool regressed = position < highest_;
    highest_ = std::max(highest_, position);
    return !regressed;
  }

 private:
  Position highest_;  ///< within `term_`
  std::uint64_t term_ = 0;
};

}  // namespace cairnhollow::registered::proxy
