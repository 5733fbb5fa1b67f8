#include "registry/validation.h"

#include <fmt/format.h>

#include <map>
#include <set>
#include <utility>

namespace cairnhollow::registry {

namespace {

void check_groups(const ConfigurationDocument& document, std::set<GroupName>& known,
                  std::vector<std::string>& faults) {
  for (std::size_t i = 0; i < document.groups.size(); ++i) {
    const GroupName& name = document.groups[i].name;
    if (name.empty()) faults.push_back(fmt::format("groups[{}].name: must not be empty", i));
    if (!known.insert(name).second)
      faults.push_back(fmt::format("groups[{}].name: {} stands twice", i, name.value));
  }
}

}  // namespace

std::vector<std::string> find_faults(const ConfigurationDocument& document) {
  std::vector<std::string> faults;
  if (document.version == 0) faults.emplace_back("version: must not be 0");
  std::set<GroupName> known;
  check_groups(document, known, faults);
  std::map<std::pair<DatabaseName, std::string>, std::size_t> places;
  for (std::size_t i = 0; i < document.routes.size(); ++i) {
    const RouteRule& route = document.routes[i];
    if (known.count(route.group) == 0)
      faults.push_back(fmt::format("routes[{}].group: {} is unknown", i, route.group.value));
    if (route.timeout_ms == 0) faults.push_back(fmt::format("routes[{}].timeout: must not be 0", i));
    const auto [first, is_new] = places.emplace(std::pair(route.database, route.path_prefix), i);
    if (!is_new) {
      faults.push_back(fmt::format("routes[{}].database: {} with prefix {} stands in routes[{}] already", i,
                                   route.database.value, route.path_prefix, first->second));
    }
  }
  return faults;
}

}  // namespace cairnhollow::registry
