// Maps each zone to its region, as configured. Regions are the units of data residency; zones are failure
// domains.
#pragma once

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

 private:
  std::map<ZoneName, RegionName> regions_;
};

}  // namespace cairnhollow::registered::locality
