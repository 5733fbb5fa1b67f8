#include "cli/fleet_summary.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "cli/status_tables.h"
#include "cli/table.h"

namespace cairnhollow::cli {

namespace {

constexpr std::size_t kGroupsInFull = 50;
constexpr std::size_t kProxiesInFull = 100;
constexpr std::size_t kExceptionsShown = 20;

/// What there is in one zone.
struct ZoneCounts {
  std::size_t backends = 0;
  std::size_t unreachable = 0;
  std::size_t backends_leaving = 0;
  std::size_t primaries = 0;
  std::size_t proxies = 0;
  std::size_t serving = 0;
  std::size_t proxies_draining = 0;
};

std::map<ZoneName, ZoneCounts> count_by_zone(const declared::control::FleetStatus& status) {
  std::map<ZoneName, ZoneCounts> zones;
  for (const auto& group : status.groups) {
    for (const auto& member : group.members) {
      ZoneCounts& zone = zones[member.zone];
      ++zone.backends;
      if (!member.reachable) ++zone.unreachable;
      if (member.leaving) ++zone.backends_leaving;
      if (member.backend == group.primary) ++zone.primaries;
    }
  }
  for (const auto& proxy : status.proxies) {
    ZoneCounts& zone = zones[proxy.zone];
    ++zone.proxies;
    if (proxy.lease_left > Duration::zero()) ++zone.serving;
    if (proxy.draining) ++zone.proxies_draining;
  }
  return zones;
}

std::string zone_table(const declared::control::FleetStatus& status) {
  Table table(
      {"ZONE", "BACKENDS", "UNREACHABLE", "LEAVING", "PRIMARIES", "PROXIES", "WITH-LEASE", "DRAINING"});
  for (const auto& [zone, counts] : count_by_zone(status)) {
    table.add({zone.empty() ? "-" : zone.value, std::to_string(counts.backends),
               std::to_string(counts.unreachable), std::to_string(counts.backends_leaving),
               std::to_string(counts.primaries), std::to_string(counts.proxies),
               std::to_string(counts.serving), std::to_string(counts.proxies_draining)});
  }
  return table.to_string();
}

std::string supervisor_table(const declared::control::FleetStatus& status) {
  std::map<NodeName, std::size_t> groups;
  std::map<NodeName, std::size_t> followers;
  for (const auto& group : status.groups) ++groups[group.supervisor];
  for (const auto& proxy : status.proxies) ++followers[proxy.control_node];
  for (const auto& [node, count] : followers) groups.try_emplace(node, 0);
  Table table({"CONTROL-NODE", "SUPERVISES", "FOLLOWED-BY"});
  for (const auto& [node, count] : groups) {
    table.add({node.empty() ? "none" : node.value, std::to_string(count), std::to_string(followers[node])});
  }
  return table.to_string();
}

/// Cuts `items` to kExceptionsShown; what to say of the others.
template <class Item>
std::string cut(std::vector<Item>& items) {
  if (items.size() <= kExceptionsShown) return "";
  const std::size_t left_out = items.size() - kExceptionsShown;
  items.resize(kExceptionsShown);
  return fmt::format("and {} more\n", left_out);
}

std::string group_exceptions(const declared::control::FleetStatus& status) {
  std::vector<declared::control::GroupStatus> groups;
  for (const auto& group : status.groups) {
    if (needs_a_look(group)) groups.push_back(group);
  }
  std::string heading =
      fmt::format("{} groups, {} need a look (no primary, no supervisor, or a member that does not answer)\n",
                  status.groups.size(), groups.size());
  if (groups.empty()) return heading;
  const std::string left_out = cut(groups);
  return heading + group_table(groups) + left_out;
}

std::string proxy_exceptions(const declared::control::FleetStatus& status) {
  std::vector<declared::control::ProxyStatus> proxies;
  for (const auto& proxy : status.proxies) {
    if (needs_a_look(proxy, status.revision)) proxies.push_back(proxy);
  }
  std::string heading =
      fmt::format("{} proxies, {} need a look (no lease, draining, or not at revision {})\n",
                  status.proxies.size(), proxies.size(), status.revision);
  if (proxies.empty()) return heading;
  const std::string left_out = cut(proxies);
  return heading + proxy_table(proxies) + left_out;
}

}  // namespace

bool is_large(const declared::control::FleetStatus& status) {
  return status.groups.size() > kGroupsInFull || status.proxies.size() > kProxiesInFull;
}

bool needs_a_look(const declared::control::GroupStatus& group) {
  if (group.primary.empty() || group.supervisor.empty()) return true;
  return std::any_of(group.members.begin(), group.members.end(),
                     [](const auto& member) { return !member.reachable; });
}

bool needs_a_look(const declared::control::ProxyStatus& proxy, std::uint64_t revision) {
  return proxy.lease_left <= Duration::zero() || proxy.draining || proxy.revision != revision;
}

std::string summary_text(const declared::control::FleetStatus& status) {
  return zone_table(status) + "\n" + supervisor_table(status) + "\n" + group_exceptions(status) + "\n" +
         proxy_exceptions(status) +
         "\nsummarized: --all prints every group and proxy, names or -l SELECTOR those selected\n";
}

}  // namespace cairnhollow::cli
