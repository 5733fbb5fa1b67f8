// Bounds of the settings' values: outside of them a program could not work, or a typing error is likely.
#pragma once

#include <cstdint>

#include "cli/settings_reader.h"
#include "wire/format.h"

namespace cairnhollow::cli {

/// Timeouts, intervals and leases.
inline constexpr Range<Duration> kIntervalRange{std::chrono::milliseconds(1), std::chrono::hours(1)};
/// Delays that may be switched off.
inline constexpr Range<Duration> kDelayRange{Duration(0), std::chrono::hours(1)};
inline constexpr Range<std::uint32_t> kQueueRange{1, 1'000'000};
inline constexpr Range<std::uint32_t> kConnectionRange{1, 100'000};
inline constexpr Range<std::uint64_t> kEntryRange{1, 1'000'000'000};
inline constexpr Range<std::uint32_t> kFeatureLevelRange{wire::kEarliestFormat, wire::kNewestFormat};

}  // namespace cairnhollow::cli
