// The status of a fleet that is too large to be read line by line: counts by zone and supervisor, and the
// groups and proxies that need a look.
#pragma once

#include <string>

#include "declared/control/operator/operator_service.h"

namespace cairnhollow::cli {

/// Whether status prints a summary unless it is asked for every line.
bool is_large(const declared::control::FleetStatus& status);

/// No primary, no supervisor, or a member that does not answer.
bool needs_a_look(const declared::control::GroupStatus& group);
/// Without a lease, draining, or with another revision than `revision`.
bool needs_a_look(const declared::control::ProxyStatus& proxy, std::uint64_t revision);

/// The counts, and of each sort the first kExceptionsShown that need a look, with the number left out.
std::string summary_text(const declared::control::FleetStatus& status);

}  // namespace cairnhollow::cli
