// Determines in which regions a statement may run and to which its text may be sent: those that both its
// route and its tenant allow. Built once per statement, then queried for each candidate machine.
#pragma once

#include <string>
#include <vector>

#include "registered/locality/region_map.h"

namespace cairnhollow::registered::locality {

/// Invariant: if the route or the tenant restricts regions, a zone of unknown region is not allowed.
class PermittedRegions {
 public:
  /// Allows every zone. Does not allocate.
  PermittedRegions() = default;
  /// `route_regions`, `tenant_regions`: allowed regions; empty means unrestricted. `map` is not owned and
  /// must outlive this object and all copies of it.
  PermittedRegions(const RegionMap& map, const std::vector<RegionName>& route_regions,
                   const std::vector<RegionName>& tenant_regions);

  /// Returns whether neither the route nor the tenant restricts regions.
  [[nodiscard]] bool is_unrestricted() const { return map_ == nullptr; }
  /// Returns whether the lists of the route and the tenant have no region in common.
  [[nodiscard]] bool allows_none() const { return map_ != nullptr && regions_.empty(); }
  [[nodiscard]] bool allows(const ZoneName& zone) const { return map_ == nullptr || includes(zone); }
  /// Returns the allowed regions for logs and error messages, e.g. "north, south"; "any" if unrestricted,
  /// "none" if no region is allowed.
  [[nodiscard]] std::string to_string() const;

 private:
  [[nodiscard]] bool includes(const ZoneName& zone) const;

  const RegionMap* map_ = nullptr;  ///< null: every zone is allowed
  std::vector<RegionName> regions_;
};

}  // namespace cairnhollow::registered::locality
