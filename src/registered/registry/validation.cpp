#include "registered/registry/validation.h"

#include <fmt/format.h>

#include <map>
#include <set>
#include <utility>

namespace cairnhollow::registered::registry {

namespace {

/// Regions without machines are accepted, because machines may be added later.
void check_regions(const std::vector<RegionName>& regions, const std::string& field,
                   std::vector<std::string>& faults) {
  std::set<RegionName> known;
  for (std::size_t i = 0; i < regions.size(); ++i) {
    if (regions[i].empty())
      faults.push_back(fmt::format("{}.allowed_regions[{}]: must not be empty", field, i));
    if (!known.insert(regions[i]).second)
      faults.push_back(
          fmt::format("{}.allowed_regions[{}]: {} appears more than once", field, i, regions[i].value));
  }
}

void check_groups(const ConfigurationDocument& document, std::set<GroupName>& known,
                  std::vector<std::string>& faults) {
  for (std::size_t i = 0; i < document.groups.size(); ++i) {
    const GroupName& name = document.groups[i].name;
    if (name.empty()) faults.push_back(fmt::format("groups[{}].name: must not be empty", i));
    if (!known.insert(name).second)
      faults.push_back(fmt::format("groups[{}].name: {} appears more than once", i, name.value));
  }
}

/// Messages must name tenants only, never keys.
void check_tenants(const ConfigurationDocument& document, std::vector<std::string>& faults) {
  std::set<TenantName> names;
  std::map<ApiKey, std::size_t> holders;
  for (std::size_t i = 0; i < document.tenants.size(); ++i) {
    const TenantRule& tenant = document.tenants[i];
    if (tenant.name.empty()) faults.push_back(fmt::format("tenants[{}].name: must not be empty", i));
    if (!names.insert(tenant.name).second)
      faults.push_back(fmt::format("tenants[{}].name: {} appears more than once", i, tenant.name.value));
    check_regions(tenant.allowed_regions, fmt::format("tenants[{}]", i), faults);
    for (std::size_t k = 0; k < tenant.keys.size(); ++k) {
      if (tenant.keys[k].empty())
        faults.push_back(fmt::format("tenants[{}].keys[{}]: must not be empty", i, k));
      const auto [holder, is_new] = holders.emplace(tenant.keys[k], i);
      if (!is_new && holder->second != i)
        faults.push_back(
            fmt::format("tenants[{}].keys[{}]: is already a key of tenants[{}]", i, k, holder->second));
    }
  }
}

}  // namespace

std::vector<std::string> find_faults(const ConfigurationDocument& document) {
  std::vector<std::string> faults;
  if (document.version == 0) faults.emplace_back("version: must not be 0");
  std::set<GroupName> known;
  check_groups(document, known, faults);
  check_tenants(document, faults);
  std::map<std::pair<DatabaseName, std::string>, std::size_t> places;
  for (std::size_t i = 0; i < document.routes.size(); ++i) {
    const RouteRule& route = document.routes[i];
    if (known.count(route.group) == 0)
      faults.push_back(
          fmt::format("routes[{}].group: {} is not defined in the document", i, route.group.value));
    if (route.timeout_ms == 0) faults.push_back(fmt::format("routes[{}].timeout: must not be 0", i));
    check_regions(route.allowed_regions, fmt::format("routes[{}]", i), faults);
    const auto [first, is_new] = places.emplace(std::pair(route.database, route.path_prefix), i);
    if (!is_new) {
      faults.push_back(fmt::format("routes[{}].database: {} with prefix {} is already served by routes[{}]",
                                   i, route.database.value, route.path_prefix, first->second));
    }
  }
  return faults;
}

}  // namespace cairnhollow::registered::registry
