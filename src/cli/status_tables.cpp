#include "cli/status_tables.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>

#include "cli/fleet_summary.h"
#include "cli/table.h"

namespace cairnhollow::cli {

namespace {

constexpr std::size_t kMachinesShown = 50;

std::string or_dash(const std::string& text) { return text.empty() ? "-" : text; }

std::string position_text(const Position& position) {
  return fmt::format("{}/{}", position.term, position.index);
}

/// Milliseconds, rounded down.
std::string duration_text(Duration duration) { return fmt::format("{}ms", in_ms(duration)); }

std::string state_of(const declared::control::GroupMemberStatus& member) {
  std::string state = member.reachable ? "reachable" : "unreachable";
  if (member.leaving) state += ", leaving";
  return state;
}

}  // namespace

std::string member_table(const std::vector<declared::control::MemberStatus>& members) {
  Table table({"CONTROL-NODE", "ZONE", "ROLE", "STATE", "ENDPOINT", "OPERATORS", "IDENTITY"});
  for (const auto& status : members) {
    std::string role = status.member.role == consensus::MemberRole::kVoter ? "voter" : "learner";
    if (status.is_leader) role += ", leader";
    table.add({status.member.node.value, status.member.zone.value, role,
               status.reachable ? "reachable" : "unreachable", status.member.endpoint.to_string(),
               status.operator_endpoint ? status.operator_endpoint->to_string() : "-",
               or_dash(status.member.identity)});
  }
  return table.to_string();
}

std::string other_node_table(const std::vector<declared::control::OtherControlNode>& nodes) {
  Table table({"RELAY-OR-STANDBY", "STATE", "OPERATORS"});
  for (const auto& other : nodes) {
    table.add({other.node.value, other.reachable ? "reachable" : "unreachable",
               other.operator_endpoint ? other.operator_endpoint->to_string() : "-"});
  }
  return table.to_string();
}

std::string group_table(const std::vector<declared::control::GroupStatus>& groups) {
  Table table(
      {"GROUP", "BACKEND", "ZONE", "ROLE", "STATE", "TERM", "APPLIED", "SLOTS", "CONNECTIONS", "PROBLEM"});
  for (const auto& group : groups) {
    table.add({group.group.value, "-", "-",
               group.primary.empty() ? "no primary" : fmt::format("primary {}", group.primary.value),
               fmt::format("probed by {}", or_dash(group.supervisor.value)), std::to_string(group.term), "-",
               "-", "-", "-"});
    for (const auto& member : group.members) {
      table.add({group.group.value, member.backend.value, member.zone.value,
                 member.is_primary ? "primary" : "replica", state_of(member), std::to_string(member.term),
                 position_text(member.applied), std::to_string(member.slots_in_use),
                 std::to_string(member.connections_in_use),
                 member.last_problem.failed() ? member.last_problem.to_string() : "-"});
    }
  }
  return table.to_string();
}

std::string proxy_table(const std::vector<declared::control::ProxyStatus>& proxies) {
  Table table({"PROXY", "ZONE", "FOLLOWS", "REVISION", "LEASE-LEFT", "IN-FLIGHT", "STATE"});
  for (const auto& proxy : proxies) {
    std::string state = proxy.lease_left > Duration::zero() ? "serving" : "lease lapsed";
    if (proxy.draining) state = "draining";
    table.add({proxy.proxy.value, proxy.zone.value, proxy.control_node.value, std::to_string(proxy.revision),
               duration_text(proxy.lease_left), std::to_string(proxy.in_flight), state});
  }
  return table.to_string();
}

std::string event_table(const std::vector<declared::control::FleetEvent>& events) {
  Table table({"TIME", "NODE", "NUMBER", "KIND", "SUBJECT", "MESSAGE", "CAUSE"});
  for (const auto& event : events) {
    table.add({time_text(event.wall_clock_microseconds), event.node.value, std::to_string(event.number),
               event.kind, or_dash(event.subject), event.message,
               event.cause.failed() ? event.cause.to_string() : "-"});
  }
  return table.to_string();
}

std::string status_text(const declared::control::FleetStatus& status, bool every_line) {
  std::string text = fmt::format(
      "answered by {}, leader {}, consensus term {}, committed {}, revision {}\n\n", status.answered_by.value,
      or_dash(status.leader.value), status.consensus_term, status.commit_index, status.revision);
  text += member_table(status.members);
  if (!status.other_control_nodes.empty()) text += "\n" + other_node_table(status.other_control_nodes);
  if (every_line || !is_large(status)) {
    text += "\n" + group_table(status.groups);
    text += "\n" + proxy_table(status.proxies);
  } else {
    text += "\n" + summary_text(status);
  }
  if (status.leaving.empty()) return text;
  text += "\nleaving, says the platform:";
  const std::size_t shown =
      every_line ? status.leaving.size() : std::min(status.leaving.size(), kMachinesShown);
  for (std::size_t i = 0; i < shown; ++i) text += " " + status.leaving[i];
  if (shown < status.leaving.size()) text += fmt::format(" and {} more", status.leaving.size() - shown);
  return text + "\n";
}

std::string time_text(std::int64_t wall_clock_microseconds) {
  constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
  constexpr std::int64_t kMicrosecondsPerMillisecond = 1'000;
  const auto seconds = static_cast<std::time_t>(wall_clock_microseconds / kMicrosecondsPerSecond);
  const auto milliseconds = (wall_clock_microseconds % kMicrosecondsPerSecond) / kMicrosecondsPerMillisecond;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds), milliseconds);
}

}  // namespace cairnhollow::cli
