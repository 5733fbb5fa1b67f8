// Events of drains that operators begin and end by changes of objects.
#pragma once

#include <vector>

#include "declared/config/state_machine.h"
#include "declared/control/operator/operator_service.h"

namespace cairnhollow::declared::control {

inline constexpr std::size_t kDrainEventsPerChange = 20;

/// Finds the drains that a change begins or ends: look before it is made, report once it was accepted.
class DrainEvents {
 public:
  /// `machine` is the configuration before the change.
  DrainEvents(const config::ChangeRequest& request, const config::StateMachine& machine);

  /// An event for each object up to kDrainEventsPerChange, and one that counts the others, so that a large
  /// change does not push all else out of the event log. Number, time and node are left to the recorder.
  [[nodiscard]] std::vector<FleetEvent> at_revision(std::uint64_t revision) const;

 private:
  /// One proxy or backend whose drain begins or ends.
  struct Drain {
    config::ObjectKey object;
    bool begins = false;
  };

  std::string operator_name_;
  std::vector<Drain> drains_;
};

}  // namespace cairnhollow::declared::control
