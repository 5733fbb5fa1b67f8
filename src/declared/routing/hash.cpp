#include "declared/routing/hash.h"

#include <xxhash.h>

#include "declared/config/objects.h"

namespace cairnhollow::declared::routing {

std::uint32_t hash_slot(std::string_view partition_key) {
  return static_cast<std::uint32_t>(XXH64(partition_key.data(), partition_key.size(), 0) %
                                    config::kHashSlots);
}

std::uint64_t rendezvous_weight(std::string_view key, std::string_view node) {
  const auto seed = XXH64(node.data(), node.size(), 0);
  return XXH64(key.data(), key.size(), seed);
}

}  // namespace cairnhollow::declared::routing
