// What a refused caller is told to wait, where nothing better is known than the reason.
#pragma once

#include "base/types.h"

namespace cairnhollow::registered::placement {

/// While a group has no primary, a proxy no lease, or the backends no room. Chosen, not measured.
inline constexpr Duration kRetryAfterWithoutPrimary = std::chrono::milliseconds(300);
/// Where only backends of evacuated zones could run the statement: until operators end the evacuation, or the
/// group's primary is moved out. Chosen, not measured.
inline constexpr Duration kRetryAfterEvacuation = std::chrono::seconds(1);
/// Where all backends that could run the statement are outside the regions that it may be run in. Only a
/// change of primary, of backends or of the document helps, and those come a few times an hour at most.
/// Chosen, not measured.
inline constexpr Duration kRetryAfterOutsideRegions = std::chrono::seconds(5);

}  // namespace cairnhollow::registered::placement
