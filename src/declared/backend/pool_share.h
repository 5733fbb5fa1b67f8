// Computes this proxy's share of a backend's connections and slots from the membership that every proxy
// knows, without messages. When memberships differ temporarily, the backend's own limit still holds.
#pragma once

#include <cstdint>

namespace cairnhollow::declared::backend {

/// The limits that a group declares for each of its backends, and the number of proxies that serve it.
struct BackendCapacity {
  std::uint32_t connections = 0;
  std::uint32_t slots = 0;
  std::uint32_t proxies_serving = 1;
};

/// The number of connections that this proxy may hold. The shares of all proxies add up to at most the limit
/// unless there are more proxies than connections; then each proxy may try one.
std::uint32_t connection_share(const BackendCapacity& capacity);
/// The initial number of statements that this proxy runs concurrently, rounded up.
std::uint32_t slot_share(const BackendCapacity& capacity);
/// The number of connections opened ahead of need; 0 if there are more proxies than connections.
std::uint32_t warm_connections(const BackendCapacity& capacity);

}  // namespace cairnhollow::declared::backend
