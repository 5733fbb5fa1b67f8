#include "cli/fleet_view.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

namespace cairnhollow::cli {

namespace {

/// One node that does not answer may not use up the whole command's time.
constexpr Duration kNodeTimeout = std::chrono::seconds(1);

// A filtered reading asks for all events that a node keeps, page by page.
constexpr std::uint32_t kPageSize = 1000;  ///< what a node gives at most
constexpr std::size_t kMaximumPages = 10;

OperatorClient client_of(CommandContext& context, const Endpoint& endpoint) {
  OperatorClientSettings settings;
  settings.servers = {endpoint};
  return {context.runtime, settings};
}

void report_silent(CommandContext& context, const Endpoint& endpoint, const Reason& reason) {
  context.errors << "no answer from the control node at " << endpoint.to_string() << ": "
                 << reason.to_string() << "\n";
}

/// A relay knows no members: they are taken from a node that has the log.
void merge_members(declared::control::FleetStatus& status, const declared::control::FleetStatus& other) {
  if (!status.members.empty() || other.members.empty()) return;
  status.leader = other.leader;
  status.consensus_term = other.consensus_term;
  status.commit_index = other.commit_index;
  status.members = other.members;
  status.other_control_nodes = other.other_control_nodes;
}

/// Takes over from `other` what it knows better.
void merge(declared::control::FleetStatus& status, const declared::control::FleetStatus& other) {
  merge_members(status, other);
  std::map<NodeName, declared::control::ProxyStatus> proxies;
  for (auto& proxy : status.proxies) proxies[proxy.proxy] = std::move(proxy);
  for (const auto& proxy : other.proxies) {
    auto& entry = proxies[proxy.proxy];
    if (entry.proxy.empty() || entry.lease_left < proxy.lease_left) entry = proxy;
  }
  status.proxies.clear();
  for (auto& [name, proxy] : proxies) status.proxies.push_back(std::move(proxy));

  std::map<GroupName, declared::control::GroupStatus> groups;
  for (auto& group : status.groups) groups[group.group] = std::move(group);
  for (const auto& group : other.groups) {
    auto& entry = groups[group.group];
    const bool probed_there = group.supervisor == other.answered_by;
    if (entry.group.empty() || probed_there || entry.term < group.term) entry = group;
  }
  status.groups.clear();
  for (auto& [name, group] : groups) status.groups.push_back(std::move(group));
}

/// Events of one node that the filter selects, by number. Unfiltered: one page, of the command's limit.
Awaitable<std::optional<std::vector<declared::control::FleetEvent>>> read_node_events(
    CommandContext& context, Endpoint endpoint, SubjectFilter filter, TimePoint deadline, Reason& reason) {
  auto client = client_of(context, endpoint);
  if (filter.selects_all()) {
    co_return co_await client.events(context.line.since, context.line.limit, deadline, reason);
  }
  std::vector<declared::control::FleetEvent> selected;
  std::uint64_t since = context.line.since.value_or(0);
  for (std::size_t page = 0; page < kMaximumPages; ++page) {
    const auto events = co_await client.events(since, kPageSize, deadline, reason);
    if (!events) co_return std::nullopt;
    for (const auto& event : *events) {
      since = event.number;
      if (filter.selects(event.subject)) selected.push_back(event);
    }
    if (events->size() < kPageSize) break;
  }
  co_return selected;
}

/// The latest events that fit the command's limit.
void keep_latest(CommandContext& context, std::vector<declared::control::FleetEvent>& events) {
  if (events.size() <= context.line.limit) return;
  const std::size_t left_out = events.size() - context.line.limit;
  events.erase(events.begin(), events.begin() + static_cast<std::ptrdiff_t>(left_out));
  context.errors << left_out << " earlier events are left out (--limit=" << context.line.limit << ")\n";
}

}  // namespace

std::vector<Endpoint> control_endpoints(const CommandLine& line,
                                        const declared::control::FleetStatus& status) {
  std::set<Endpoint> endpoints(line.servers.begin(), line.servers.end());
  for (const auto& member : status.members) {
    if (member.reachable && member.operator_endpoint) endpoints.insert(*member.operator_endpoint);
  }
  for (const auto& other : status.other_control_nodes) {
    if (other.reachable && other.operator_endpoint) endpoints.insert(*other.operator_endpoint);
  }
  return {endpoints.begin(), endpoints.end()};
}

Awaitable<std::optional<declared::control::FleetStatus>> read_fleet_status(CommandContext& context,
                                                                           Reason& reason) {
  const TimePoint deadline = context.deadline();
  auto status = co_await context.client.status(deadline, reason);
  if (!status) co_return std::nullopt;
  const auto endpoints = control_endpoints(context.line, *status);
  for (const auto& endpoint : endpoints) {
    auto client = client_of(context, endpoint);
    const TimePoint node_deadline = std::min(deadline, context.runtime.now() + kNodeTimeout);
    Reason silence;
    const auto other = co_await client.status(node_deadline, silence);
    if (!other) report_silent(context, endpoint, silence);
    if (other && other->answered_by != status->answered_by) merge(*status, *other);
  }
  co_return status;
}

Awaitable<std::optional<std::vector<declared::control::FleetEvent>>> read_fleet_events(
    CommandContext& context, SubjectFilter filter, Reason& reason) {
  const TimePoint deadline = context.deadline();
  const auto status = co_await context.client.status(deadline, reason);
  if (!status) co_return std::nullopt;
  std::vector<declared::control::FleetEvent> events;
  std::set<NodeName> answered;
  bool any_answer = false;
  const auto endpoints = control_endpoints(context.line, *status);
  for (const auto& endpoint : endpoints) {
    const TimePoint node_deadline = std::min(deadline, context.runtime.now() + kNodeTimeout);
    Reason silence;
    auto of_node = co_await read_node_events(context, endpoint, filter, node_deadline, silence);
    if (!of_node) report_silent(context, endpoint, silence);
    // A node may be known by two addresses.
    if (!of_node || (!of_node->empty() && !answered.insert(of_node->front().node).second)) continue;
    any_answer = true;
    std::move(of_node->begin(), of_node->end(), std::back_inserter(events));
  }
  if (!any_answer) {
    reason = Reason{ReasonCode::kUnreachable, "read_events", "", "no control node answered"};
    co_return std::nullopt;
  }
  std::stable_sort(events.begin(), events.end(), [](const auto& a, const auto& b) {
    return a.wall_clock_microseconds < b.wall_clock_microseconds;
  });
  if (!context.line.since) keep_latest(context, events);
  co_return events;
}

}  // namespace cairnhollow::cli
