#include "registered/locality/permitted_regions.h"

#include <algorithm>

namespace cairnhollow::registered::locality {

namespace {

bool contains(const std::vector<RegionName>& regions, const RegionName& region) {
  return std::find(regions.begin(), regions.end(), region) != regions.end();
}

}  // namespace

PermittedRegions::PermittedRegions(const RegionMap& map, const std::vector<RegionName>& of_route,
                                   const std::vector<RegionName>& of_tenant) {
  if (of_route.empty() && of_tenant.empty()) return;
  map_ = &map;
  regions_ = of_route.empty() ? of_tenant : of_route;
  if (of_route.empty() || of_tenant.empty()) return;
  std::erase_if(regions_, [&](const RegionName& region) { return !contains(of_tenant, region); });
}

bool PermittedRegions::lists(const ZoneName& zone) const {
  const RegionName* region = map_->find(zone);
  return region != nullptr && contains(regions_, *region);
}

std::string PermittedRegions::to_string() const {
  if (is_anywhere()) return "any";
  if (is_nowhere()) return "none";
  std::string text;
  for (const RegionName& region : regions_) {
    if (!text.empty()) text += ", ";
    text += region.value;
  }
  return text;
}

}  // namespace cairnhollow::registered::locality
