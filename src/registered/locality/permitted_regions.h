// In which regions a statement may run and its text may be sent about. Its route and its tenant may each name
// regions; both bind. Pure: worked out once for a statement, asked for each machine.
#pragma once

#include <string>
#include <vector>

#include "registered/locality/region_map.h"

namespace cairnhollow::registered::locality {

/// Invariant: where a list binds, a zone whose region is not known is not allowed.
class PermittedRegions {
 public:
  /// Anywhere; costs nothing to make and to ask.
  PermittedRegions() = default;
  /// `of_route`, `of_tenant`: empty where it sets no limit. `map` outlives this and all copies of it.
  PermittedRegions(const RegionMap& map, const std::vector<RegionName>& of_route,
                   const std::vector<RegionName>& of_tenant);

  /// No list binds.
  [[nodiscard]] bool is_anywhere() const { return map_ == nullptr; }
  /// The lists have no region in common.
  [[nodiscard]] bool is_nowhere() const { return map_ != nullptr && regions_.empty(); }
  [[nodiscard]] bool allows(const ZoneName& zone) const { return map_ == nullptr || lists(zone); }
  /// For logs and refusals, e.g. "north, south"; "any" and "none" for the two extremes.
  [[nodiscard]] std::string to_string() const;

 private:
  [[nodiscard]] bool lists(const ZoneName& zone) const;

  const RegionMap* map_ = nullptr;  ///< null: anywhere
  std::vector<RegionName> regions_;
};

}  // namespace cairnhollow::registered::locality
