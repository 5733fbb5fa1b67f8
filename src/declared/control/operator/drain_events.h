// Derives fleet events from changes that start or end a drain.
#pragma once

#include <vector>

#include "declared/config/state_machine.h"
#include "declared/control/operator/operator_service.h"

namespace cairnhollow::declared::control {

inline constexpr std::size_t kDrainEventsPerChange = 20;

/// Finds the drains that a change starts or ends. Construct it before the change is applied; call
/// at_revision() after the change was accepted.
class DrainEvents {
 public:
  /// `machine` holds the configuration before the change.
  DrainEvents(const config::ChangeRequest& request, const config::StateMachine& machine);

  /// Returns one event per object up to kDrainEventsPerChange, plus one that counts the rest, so that a large
  /// change does not evict other events from the log. Number, time and node are filled in by the recorder.
  [[nodiscard]] std::vector<FleetEvent> at_revision(std::uint64_t revision) const;

 private:
  /// A proxy or backend whose drain starts or ends.
  struct Drain {
    config::ObjectKey object;
    bool begins = false;
  };

  std::string operator_name_;
  std::vector<Drain> drains_;
};

}  // namespace cairnhollow::declared::control
