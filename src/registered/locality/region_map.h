// Which region each zone is in, as the settings say. Regions are where operators and laws draw lines; zones
// are what machines fail with.
#pragma once

#include <map>
#include <utility>

#include "base/types.h"

namespace cairnhollow::registered::locality {

class RegionMap {
 public:
  RegionMap() = default;
  explicit RegionMap(std::map<ZoneName, RegionName> regions) : regions_(std::move(regions)) {}

  /// Null when nothing tells the zone's region.
  [[nodiscard]] const RegionName* find(const ZoneName& zone) const {
    const auto found = regions_.find(zone);
    return found == regions_.end() ? nullptr : &found->second;
  }

 private:
  std::map<ZoneName, RegionName> regions_;
};

}  // namespace cairnhollow::registered::locality
