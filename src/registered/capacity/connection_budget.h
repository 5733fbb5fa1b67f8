// Divides a backend's connections among its owners, so that those of lost processes, which the backend still
// counts, and those of the owners that take over stay within its limit. Pure: the caller passes the time.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/types.h"

namespace cairnhollow::registered::capacity {

/// An owner keeps its part of the connections but for this many, at which an idle link makes room for a new
/// one: a backend may count the new one before it sees the other closed. Open transactions may use the whole
/// part.
inline constexpr std::uint64_t kSpareLinks = 1;
/// A process that has just started does not know which processes were lost before. Until their connections no
/// longer count, all owners together use one in kStartDivisor connections: room for each slot, and for
/// others.
inline constexpr std::uint64_t kStartDivisor = 3;
/// How long a backend may count connections whose process is gone.
inline constexpr Duration kLostConnectionsCounted = std::chrono::seconds(3);
/// Links of a proxy that serves the group but does not own the backend: for its own status requests, and for
/// statements that no owner can run. One of them is reserved in the backend's limit; they are seldom used.
inline constexpr std::uint64_t kGuestLinks = 2;
inline constexpr std::uint64_t kReservedGuestLinks = 1;

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

/// Returns the limits that apply while the owners do not change.
LinkLimits settled_limits(const ConnectionUsers& users);

/// The limits over time. After a change of owners all owners share what the connections of those that were
/// removed leave, until these no longer count: the ones that stay close idle links for the ones that come.
class ConnectionBudget {
 public:
  /// `removed`: number of owners since the last call that own the backend no longer.
  void set_users(const ConnectionUsers& users, std::uint64_t removed, TimePoint now);
  [[nodiscard]] LinkLimits limits(TimePoint now) const;

 private:
  struct Lost {
    std::uint64_t links = 0;
    TimePoint counted_until{};
  };

  std::optional<TimePoint> started_;
  ConnectionUsers users_;
  std::vector<Lost> lost_;
};

}  // namespace cairnhollow::registered::capacity
