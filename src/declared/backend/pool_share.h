// This proxy's share of a backend's connections and slots. It is worked out from the membership that every
// proxy knows, without messages; when memberships differ for a while, the backend's refusal is the hard stop.
#pragma once

#include <cstdint>

namespace cairnhollow::declared::backend {

/// What a group declares for each of its backends, and how many proxies serve it.
struct BackendCapacity {
  std::uint32_t connections = 0;
  std::uint32_t slots = 0;
  std::uint32_t proxies_serving = 1;
};

/// The connections that this proxy may hold. The shares of all proxies together stay within the limit as
/// long as there are not more proxies than connections; beyond that each may try one.
std::uint32_t connection_share(const BackendCapacity& capacity);
/// The statements that this proxy begins with running at once, rounded up.
std::uint32_t slot_share(const BackendCapacity& capacity);
/// The connections opened ahead of need; none when there are more proxies than connections.
std::uint32_t warm_connections(const BackendCapacity& capacity);

}  // namespace cairnhollow::declared::backend
