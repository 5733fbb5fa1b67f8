// Where the processes of a simulated registered fleet listen.
#pragma once

#include <cstdint>

namespace cairnhollow::simulation {

inline constexpr std::uint16_t kPeerPort = 7440;
inline constexpr std::uint16_t kOperatorPort = 8782;
inline constexpr std::uint16_t kSessionPort = 8784;
inline constexpr std::uint16_t kReadinessPort = 8785;
inline constexpr std::uint16_t kDatabasePort = 9000;

}  // namespace cairnhollow::simulation
