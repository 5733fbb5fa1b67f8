// The platform's list of machines: how it is read, and what is taken from it. The list lags and may be wrong,
// so it may take machines out and never proves that one lives.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/reason.h"

namespace cairnhollow::declared::control {

enum class MachineState : std::uint8_t { kLive = 1, kLeaving = 2 };

/// State by machine name.
using MachineStates = std::map<std::string, MachineState>;

/// Reads `{"machines":[{"name":N,"state":"live"|"leaving"},...]}`. kInvalidArgument names the field.
std::optional<MachineStates> parse_machine_list(const std::string& body, Reason& reason);

/// The machines that are leaving now. One that was leaving and is listed no more is still leaving: it is
/// being reclaimed. Only a list that names it as live takes it back.
std::set<std::string> leaving_machines(const std::set<std::string>& leaving_before,
                                       const MachineStates& listed);

}  // namespace cairnhollow::declared::control
