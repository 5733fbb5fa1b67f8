// Default retry delays that a refused caller is given when only the reason of the refusal is known.
#pragma once

#include "base/types.h"

namespace cairnhollow::registered::placement {

/// The group has no primary, the proxy no lease, or the backends no capacity.
inline constexpr Duration kRetryAfterWithoutPrimary = std::chrono::milliseconds(300);
/// This proxy is overloaded. Its load is measured over several intervals before it admits more.
inline constexpr Duration kRetryAfterOverload = std::chrono::milliseconds(500);
/// Only backends in evacuated zones could run the statement. This lasts until operators end the evacuation or
/// the group's primary is moved.
inline constexpr Duration kRetryAfterEvacuation = std::chrono::seconds(1);
/// All suitable backends are outside the permitted regions. Only a change of the primary, the backends or the
/// configuration document helps, and these are rare.
inline constexpr Duration kRetryAfterOutsideRegions = std::chrono::seconds(5);

}  // namespace cairnhollow::registered::placement
