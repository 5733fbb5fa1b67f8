// Divides a backend's connections: between those its owners keep, those left for proxies that take over, and
// the single links of other proxies. Pure: the caller passes the time.
#pragma once

#include <chrono>
#include <cstdint>

#include "base/types.h"

namespace cairnhollow::registered::capacity {

/// One part in kTakeoverDivisor of the connections is left to proxies that become owners: when a third of the
/// machines is lost, the connections of their processes still count at the backend.
inline constexpr std::uint64_t kTakeoverDivisor = 3;
/// One part in kTransactionDivisor of the takeover part may be used by open transactions that hold more links
/// than are kept; the rest is room for takers of two thirds of a backend's owners.
inline constexpr std::uint64_t kTransactionDivisor = 3;
/// How long a backend may count connections whose process is gone.
inline constexpr Duration kLostConnectionsCounted = std::chrono::seconds(3);
/// Links of a proxy that serves the group but does not own the backend: for its own status requests, and for
/// statements that no owner can run.
inline constexpr std::uint64_t kGuestLinks = 1;

/// Limits on the links of one proxy to one backend.
struct LinkLimits {
  std::uint64_t kept = 1;     ///< in use and idle together; idle links make room for new ones
  std::uint64_t maximum = 1;  ///< in use, for which no idle link is kept: open transactions
  bool operator==(const LinkLimits&) const = default;
};

/// The proxies among which a backend's connections are divided.
struct ConnectionUsers {
  std::uint64_t usable = 0;  ///< connections for all proxies together; 0: unlimited
  std::uint64_t owners = 0;
  std::uint64_t guests = 0;  ///< other proxies that serve the group
  bool is_owner = false;     ///< this proxy
  bool operator==(const ConnectionUsers&) const = default;
};

/// Returns the limits that apply while the owners do not change. All kept links and those of guests leave
/// the takeover part free.
LinkLimits settled_limits(const ConnectionUsers& users);
/// Returns the limits of a proxy that became an owner a moment ago: its part of the takeover part.
LinkLimits takeover_limits(const ConnectionUsers& users);

/// The limits over time: after a change of owners, no limit grows, and no new owner exceeds its takeover
/// part, until the connections of lost processes no longer count.
class ConnectionBudget {
 public:
  /// `owners_changed`: the set of owners is not the one of the last call.
  void set_users(const ConnectionUsers& users, bool owners_changed, TimePoint now);
  [[nodiscard]] LinkLimits limits(TimePoint now) const;

 private:
  ConnectionUsers users_;
  LinkLimits until_settled_;
  TimePoint settled_at_{};
};

}  // namespace cairnhollow::registered::capacity
