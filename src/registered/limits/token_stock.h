// Holds tokens that a proxy has requested in advance for the next operations of a tenant or the next
// statements to a cold backend.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <optional>

#include "registered/limits/owner_share.h"

namespace cairnhollow::registered::limits {

/// Time constant of the exponential average of demand. Several token lifetimes, so that a short pause does
/// not stop requests in advance.
inline constexpr Duration kDemandTimeConstant = std::chrono::seconds(1);

class TokenCache {
 public:
  /// Removes the token that expires first and returns its expiry time, or std::nullopt if there is none.
  std::optional<TimePoint> take(TimePoint now) {
    std::erase_if(tokens_, [now](TimePoint expiry) { return expiry <= now; });
    if (tokens_.empty()) return std::nullopt;
    const TimePoint expiry = tokens_.front();
    tokens_.pop_front();
    return expiry;
  }
  /// Adds tokens that were requested at `asked_at`. They expire kTokenLifetime after it.
  void add(std::uint64_t tokens, TimePoint asked_at) {
    tokens_.insert(tokens_.end(), tokens, asked_at + kTokenLifetime);
  }
  /// Returns a token that was taken but not used, with its original expiry time.
  void return_unused(TimePoint expiry) { tokens_.push_front(expiry); }
  /// Records that one more operation has requested a token.
  void record_demand(TimePoint now) {
    rate_ = demand(now) + 1 / std::chrono::duration<double>(kDemandTimeConstant).count();
    recorded_at_ = now;
  }
  /// Returns the number of operations expected within kTokenLifetime.
  [[nodiscard]] std::uint64_t expected_demand(TimePoint now) const {
    const double lifetime_s = std::chrono::duration<double>(kTokenLifetime).count();
    return static_cast<std::uint64_t>(demand(now) * lifetime_s);
  }
  [[nodiscard]] std::size_t size() const { return tokens_.size(); }

 private:
  /// Returns the average demand in operations per second.
  [[nodiscard]] double demand(TimePoint now) const {
    const double age = std::chrono::duration<double>(now - recorded_at_) / kDemandTimeConstant;
    return rate_ * std::exp(-age);
  }

  std::deque<TimePoint> tokens_;  ///< expiry times; the front is taken first
  double rate_ = 0;               ///< operations per second, at recorded_at_
  TimePoint recorded_at_{};
};

}  // namespace cairnhollow::registered::limits
