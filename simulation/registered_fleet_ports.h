// Where the processes of a simulated registered fleet listen.
#pragma once

#include <cstdint>

namespace cairnhollow::simulation {

inline constexpr std::uint16_t kPeerPort = 7440;
inline constexpr std::uint16_t kOperatorPort = 8782;
inline constexpr std::uint16_t kSessionPort = 8784;
inline constexpr std::uint16_t kReadinessPort = 8785;
inline constexpr std::uint16_t kDatabasePort = 9000;
/// Name and address of the promotion call's process.
inline constexpr const char* kPromotionCall = "promotion";
inline constexpr const char* kPromotionAddress = "10.9.0.1";

}  // namespace cairnhollow::simulation
