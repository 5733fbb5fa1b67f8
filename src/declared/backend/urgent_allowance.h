// Limits how many urgent statements a proxy may have in flight at a backend beyond its concurrency limit.
// That limit is the proxy's share of the slots; slots of other proxies may be idle, and no message tells
// which. They are therefore probed: the backend's busy answer is the hard limit and costs the caller only a
// pause. The allowance grows additively and falls to one on a busy answer, as the congestion window does
// after a timeout in TCP.
#pragma once

#include <algorithm>
#include <cstdint>

namespace cairnhollow::declared::backend {

class UrgentAllowance {
 public:
  /// Sets the maximum number of statements in flight, borrowed slots included: the smaller of the backend's
  /// slots and this proxy's connections.
  void set_bound(std::uint32_t max_in_flight) { max_in_flight_ = max_in_flight; }

  /// The number of statements that may be in flight while urgent statements are under deadline pressure; at
  /// least `limit`.
  [[nodiscard]] std::uint32_t raised_limit(std::uint32_t limit) const {
    return std::max(limit, std::min(max_in_flight_, limit + allowance_));
  }
  /// A statement in a borrowed slot was answered: one more may be tried.
  void answered() { allowance_ = std::min(allowance_ + 1, std::max(1U, max_in_flight_)); }
  /// A borrowed slot was not available: one at a time is tried from now on.
  void busy() { allowance_ = 1; }

 private:
  std::uint32_t max_in_flight_ = 0;
  std::uint32_t allowance_ = 1;
};

}  // namespace cairnhollow::declared::backend
