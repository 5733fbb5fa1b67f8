// Tables of the fleet's state for people.
#pragma once

#include <string>
#include <vector>

#include "declared/control/operator/operator_service.h"

namespace cairnhollow::cli {

/// Control nodes as members of the consensus group.
std::string member_table(const std::vector<declared::control::MemberStatus>& members);
/// Control nodes beside the consensus group.
std::string other_node_table(const std::vector<declared::control::OtherControlNode>& nodes);
/// Groups, each with its members below it.
std::string group_table(const std::vector<declared::control::GroupStatus>& groups);
/// Proxies with their lease and revision.
std::string proxy_table(const std::vector<declared::control::ProxyStatus>& proxies);
/// Events in the order given, each with its cause.
std::string event_table(const std::vector<declared::control::FleetEvent>& events);
/// All of a status under headings; of a large fleet a summary unless `every_line`.
std::string status_text(const declared::control::FleetStatus& status, bool every_line);

/// "2026-12-02T07:00:00.123Z" (RFC 3339).
std::string time_text(std::int64_t wall_clock_microseconds);

}  // namespace cairnhollow::cli
