// How many urgent statements a proxy may have under way at a backend beyond its concurrency limit. The limit
// is a proxy's part of the slots; parts of others may be idle or taken by less urgent work, and who needs
// them is told by nobody. So they are tried: the backend's busy answer is the hard stop, and costs the caller
// no more than a pause. Additive increase and a fall to one, as in TCP's congestion window after a timeout.
#pragma once

#include <algorithm>
#include <cstdint>

namespace cairnhollow::declared::backend {

class UrgentAllowance {
 public:
  /// At most this many statements under way, borrowed ones included: the backend's slots and what there are
  /// connections for.
  void set_bound(std::uint32_t most_under_way) { most_under_way_ = most_under_way; }

  /// The statements that may be under way when urgent ones need it; `limit` at least.
  [[nodiscard]] std::uint32_t raise(std::uint32_t limit) const {
    return std::max(limit, std::min(most_under_way_, limit + allowance_));
  }
  /// A borrowed slot was there: one more may be tried.
  void answered() { allowance_ = std::min(allowance_ + 1, std::max(1U, most_under_way_)); }
  /// The backend had none: one at a time is tried from now on.
  void busy() { allowance_ = 1; }

 private:
  std::uint32_t most_under_way_ = 0;
  std::uint32_t allowance_ = 1;
};

}  // namespace cairnhollow::declared::backend
