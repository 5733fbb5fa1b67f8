#include "registered/locality/permitted_regions.h"

#include <algorithm>

namespace cairnhollow::registered::locality {

namespace {

bool contains(const std::vector<RegionName>& regions, const RegionName& region) {
  return std::find(regions.begin(), regions.end(), region) != regions.end();
}

}  // namespace

PermittedRegions::PermittedRegions(const RegionMap& map, const std::vector<RegionName>& route_regions,
                                   const std::vector<RegionName>& tenant_regions) {
  if (route_regions.empty() && tenant_regions.empty()) return;
  map_ = &map;
  regions_ = route_regions.empty() ? tenant_regions : route_regions;
  if (route_regions.empty() || tenant_regions.empty()) return;
  std::erase_if(regions_, [&](const RegionName& region) { return !contains(tenant_regions, region); });
}

bool PermittedRegions::includes(const ZoneName& zone) const {
  const RegionName* region = map_->find(zone);
  return region != nullptr && contains(regions_, *region);
}

std::string PermittedRegions::to_string() const {
  if (is_unrestricted()) return "any";
  if (allows_none()) return "none";
  std::string text;
  for (const RegionName& region : regions_) {
    if (!text.empty()) text += ", ";
    text += region.value;
  }
  return text;
}

}  // namespace cairnhollow::registered::locality
