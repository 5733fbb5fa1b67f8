// Maps each zone to its region, as configured. Regions are the units of data residency; zones are failure
// domains.
#pragma once

#include <algorithm>
#include <map>
#include <utility>

#include "base/types.h"

namespace cairnhollow::registered::locality {

class RegionMap {
 public:
  RegionMap() = default;
  explicit RegionMap(std::map<ZoneName, RegionName> regions) : regions_(std::move(regions)) {}

  /// Returns nullptr if the region of the zone is not configured.
  [[nodiscard]] const RegionName* find(const ZoneName& zone) const {
    const auto found = regions_.find(zone);
    return found == regions_.end() ? nullptr : &found->second;
  }
  /// Whether zones of at least two regions are configured.
  [[nodiscard]] bool spans_regions() const {
    return std::any_of(regions_.begin(), regions_.end(),
                       [this](const auto& entry) { return entry.second != regions_.begin()->second; });
  }
  /// Whether the zones are known to be in different regions.
  [[nodiscard]] bool are_apart(const ZoneName& one, const ZoneName& other) const {
    const RegionName* region = find(one);
    const RegionName* other_region = find(other);
    return region != nullptr && other_region != nullptr && *region != *other_region;
  }

 private:
  std::map<ZoneName, RegionName> regions_;
};

}  // namespace cairnhollow::registered::locality
