// Provides a token bucket that starts empty, since the bucket that it replaces may just have granted a full
// burst.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "registered/limits/owner_share.h"

namespace cairnhollow::registered::limits {

class TokenBucket {
 public:
  /// Creates an empty bucket that fills from `now` on.
  explicit TokenBucket(TimePoint now) : filled_at_(now) {}

  /// Takes up to `requested` whole tokens and returns their number.
  std::uint64_t take(std::uint64_t requested, const OwnerShare& share, TimePoint now) {
    fill(share, now);
    const auto taken = std::min(requested, static_cast<std::uint64_t>(tokens_));
    tokens_ -= static_cast<double>(taken);
    return taken;
  }
  /// Returns whether the bucket held at least half of its depth at the last take().
  [[nodiscard]] bool is_half_full(const OwnerShare& share) const { return tokens_ * 2 >= share.depth; }
  /// Returns the time, after the last take(), until the bucket holds one token; 1 s if the refill rate is 0.
  [[nodiscard]] Duration time_to_token(const OwnerShare& share) const {
    if (tokens_ >= 1) return Duration(0);
    if (share.rate_per_s <= 0) return std::chrono::seconds(1);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>((1 - tokens_) / share.rate_per_s));
  }

 private:
  void fill(const OwnerShare& share, TimePoint now) {
    const double elapsed = std::chrono::duration<double>(now - filled_at_).count();
    tokens_ = std::min(tokens_ + elapsed * share.rate_per_s, share.depth);
    filled_at_ = now;
  }

  double tokens_ = 0;
  TimePoint filled_at_;
};

}  // namespace cairnhollow::registered::limits
