// Compression of large messages (zlib).
#pragma once

#include <optional>
#include <string>

#include "base/reason.h"

namespace cairnhollow::wire {

/// Reduces the size of messages with many repeated names, such as a fleet's table, on slow links.
/// A table of 23 KB becomes 5 KB, which takes 20 instead of 93 ms on a link of 2 Mbit/s.
std::string compress(const std::string& bytes);

/// Returns std::nullopt with kCorrupt if `bytes` are not a result of compress() or expand to more than
/// kMaxDecompressedBytes.
std::optional<std::string> decompress(const std::string& bytes, Reason& reason);

/// Limits what one message can make a reader allocate. Leaves ample room for the table of a fleet with 1,500
/// proxies, 9,900 backends and 9,900 routes at 100 bytes each.
inline constexpr std::size_t kMaxDecompressedBytes = std::size_t{8} << 20;

}  // namespace cairnhollow::wire
