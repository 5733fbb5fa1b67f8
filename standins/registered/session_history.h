// What callers of a registered fleet saw, and what must never be in it.
#pragma once

#include <string>
#include <vector>

#include "base/types.h"
#include "registered/registry/model.h"

namespace cairnhollow::standins::registered {

enum class AttemptOutcome : std::uint8_t { kAcknowledged, kPromisedNotKept, kUnknown };

/// One try of a caller: a write, a read, or a transaction of both.
struct Attempt {
  std::string session;
  cairnhollow::registered::registry::ReadPolicy policy =
      cairnhollow::registered::registry::ReadPolicy::kPrimary;
  Duration staleness{0};
  std::string record;
  std::string token;                ///< written; empty for a read
  std::vector<std::string> tokens;  ///< read; meaningful when `has_read`
  bool has_read = false;
  std::string tag;  ///< the session value that the read was run under
  TimePoint begun{};
  TimePoint ended{};
  AttemptOutcome outcome = AttemptOutcome::kUnknown;
  bool cut = false;  ///< the last statement's answer did not come whole
};

/// Every violation, in words. `final_tokens`: what the group's primary holds at the end, record by record in
/// order, as "record token".
std::vector<std::string> find_violations(const std::vector<Attempt>& history,
                                         const std::vector<std::string>& final_tokens);

/// The longest time between two acknowledged writes that lies within `from` and `to`.
Duration longest_write_gap(const std::vector<Attempt>& history, TimePoint from, TimePoint to);

}  // namespace cairnhollow::standins::registered
