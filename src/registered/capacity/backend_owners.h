// Selects the proxies that own a backend: they alone keep links to it while no owner changes, and divide its
// slots among themselves. Pure functions: every proxy with the same membership selects the same owners.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "subset/subset.h"

namespace cairnhollow::registered::capacity {

/// Slots of a backend that one owner's machine can keep busy. Two slots that each complete a statement every
/// 12 ms need 160 statements a second, half of what a machine's link of 2 Mbit/s carries at 1.6 KB each way.
inline constexpr std::uint32_t kSlotsPerOwner = 2;
/// Owners beyond those needed: one may be lost or restarted, and the link of another one's machine may be
/// filled by the other groups that it serves.
inline constexpr std::uint32_t kSpareOwners = 2;

/// Returns the number of proxies that own a backend with this many slots (0: unknown).
std::size_t owner_count(std::uint64_t slots);

/// Returns the owners of a backend in `zone`: the first `count` proxies of the zone in `serving`, or of all
/// if the zone has none. `serving`: the proxies that serve the group, in the order of
/// subset::SubsetTable::serving().
std::vector<subset::ProxyPointer> owners_of(const std::vector<subset::ProxyPointer>& serving,
                                            const ZoneName& zone, std::size_t count);

}  // namespace cairnhollow::registered::capacity
