// Tokens that a proxy holds for the next operations of a tenant, or statements to a cold backend, asked for a
// little ahead.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <optional>

#include "registered/limits/owner_share.h"

namespace cairnhollow::registered::limits {

/// Demand is averaged over this time: several lifetimes of a token, so that a pause does not end asking
/// ahead.
inline constexpr Duration kDemandMemory = std::chrono::seconds(1);

class TokenStock {
 public:
  /// Takes the token that expires first, and says when that is; empty when there is none.
  std::optional<TimePoint> take(TimePoint now) {
    std::erase_if(tokens_, [now](TimePoint expiry) { return expiry <= now; });
    if (tokens_.empty()) return std::nullopt;
    const TimePoint expiry = tokens_.front();
    tokens_.pop_front();
    return expiry;
  }
  /// Tokens that were asked for at `asked_at`.
  void put(std::uint64_t tokens, TimePoint asked_at) {
    tokens_.insert(tokens_.end(), tokens, asked_at + kGrantLife);
  }
  /// One that was taken and not used, since nothing was run. Expires when it would have.
  void give_back(TimePoint expiry) { tokens_.push_front(expiry); }
  /// One more operation wants to begin.
  void record_demand(TimePoint now) {
    rate_ = demand(now) + 1 / std::chrono::duration<double>(kDemandMemory).count();
    recorded_at_ = now;
  }
  /// Operations to be expected while a token lives.
  [[nodiscard]] std::uint64_t expected(TimePoint now) const {
    const double life = std::chrono::duration<double>(kGrantLife).count();
    return static_cast<std::uint64_t>(demand(now) * life);
  }
  [[nodiscard]] std::size_t size() const { return tokens_.size(); }

 private:
  /// Operations a second.
  [[nodiscard]] double demand(TimePoint now) const {
    const double age = std::chrono::duration<double>(now - recorded_at_) / kDemandMemory;
    return rate_ * std::exp(-age);
  }

  std::deque<TimePoint> tokens_;  ///< when each expires
  double rate_ = 0;
  TimePoint recorded_at_{};
};

}  // namespace cairnhollow::registered::limits
