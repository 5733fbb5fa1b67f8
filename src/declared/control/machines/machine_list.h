// Parses the platform's list of machines and derives which machines are leaving. The list may be late or
// wrong: it can take machines out of service, but never proves that a machine is live.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/reason.h"

namespace cairnhollow::declared::control {

enum class MachineState : std::uint8_t { kLive = 1, kLeaving = 2 };

/// Machine states keyed by machine name.
using MachineStates = std::map<std::string, MachineState>;

/// Parses `{"machines":[{"name":N,"state":"live"|"leaving"},...]}`. On invalid input, returns std::nullopt
/// and sets `reason` to kInvalidArgument, naming the invalid field.
std::optional<MachineStates> parse_machine_list(const std::string& body, Reason& reason);

/// Returns the machines that are leaving. A machine that was leaving and has disappeared from the list is
/// still leaving, because it is being reclaimed; only a list that reports it as live clears the state.
std::set<std::string> leaving_machines(const std::set<std::string>& leaving_before,
                                       const MachineStates& listed);

}  // namespace cairnhollow::declared::control
