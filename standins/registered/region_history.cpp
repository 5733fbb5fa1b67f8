#include "standins/registered/region_history.h"

#include <fmt/format.h>

#include <algorithm>

namespace cairnhollow::standins::registered {

namespace {

template <class Key>
bool lists(const std::map<Key, std::vector<RegionName>>& lists, const Key& key, const RegionName& region) {
  const auto list = lists.find(key);
  if (list == lists.end() || list->second.empty()) return true;
  return std::find(list->second.begin(), list->second.end(), region) != list->second.end();
}

bool allows(const RegionEra& era, const RegionCaller& caller, const RegionName& region) {
  return lists(era.by_database, caller.database, region) && lists(era.by_tenant, caller.tenant, region);
}

/// Whether the document that bound last, or a later one, allows it.
bool is_allowed(const RegionHistory& history, const RegionCaller& caller, const PlacedStatement& placed,
                Duration settles) {
  const auto zone = history.zone_regions.find(placed.zone);
  const RegionName region = zone == history.zone_regions.end() ? RegionName() : zone->second;
  const auto bound = std::find_if(history.eras.rbegin(), history.eras.rend(), [&](const RegionEra& era) {
    return era.acknowledged_at + settles <= placed.at;
  });
  // Before the first document binds, nothing does.
  if (bound == history.eras.rend()) return true;
  return std::any_of(history.eras.rbegin(), bound + 1,
                     [&](const RegionEra& era) { return allows(era, caller, region); });
}

}  // namespace

std::vector<std::string> find_region_violations(const RegionHistory& history, Duration settles) {
  std::vector<std::string> violations;
  for (const PlacedStatement& placed : history.placed) {
    const auto caller = history.callers.find(placed.id.substr(0, placed.id.rfind('-')));
    if (caller == history.callers.end()) continue;
    if (is_allowed(history, caller->second, placed, settles)) continue;
    violations.push_back(fmt::format("region: {} of {} {} in {} at {} ms", placed.id, caller->second.database,
                                     placed.at_backend ? "ran" : "was sent to a proxy", placed.zone.value,
                                     in_ms(placed.at.time_since_epoch())));
  }
  return violations;
}

}  // namespace cairnhollow::standins::registered
