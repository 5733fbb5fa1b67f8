// Hash functions for key placement and load distribution. Results are the same on every machine and in every
// version.
#pragma once

#include <cstdint>
#include <string_view>

namespace cairnhollow::declared::routing {

/// Returns the slot of a partition key, below config::kHashSlots: XXH64 of its bytes modulo the number of
/// slots.
std::uint32_t hash_slot(std::string_view partition_key);

/// Returns the weight of a node for a key; the node with the highest weight wins (rendezvous hashing: Thaler
/// and Ravishankar, IEEE/ACM Transactions on Networking 1998).
std::uint64_t rendezvous_weight(std::string_view key, std::string_view node);

}  // namespace cairnhollow::declared::routing
