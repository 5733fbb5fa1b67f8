// What operators saw of their changes, for the checkers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/types.h"
#include "declared/config/change_outcome.h"

namespace cairnhollow::simulation {

/// One change under one change id, with every answer that its sends got.
struct ChangeRecord {
  std::string operator_name;
  DomainName domain;  ///< whose control nodes were asked; empty: the only one
  declared::config::ChangeRequest request;
  std::vector<declared::config::ChangeOutcome>
      answers;                   ///< of the first send and of each resend that was answered
  TimePoint sent{};              ///< world time
  TimePoint answered{};          ///< of the first answer
  std::vector<Reason> failures;  ///< of sends without an answer
};

struct ChangeHistory {
  std::vector<ChangeRecord> changes;
};

}  // namespace cairnhollow::simulation
