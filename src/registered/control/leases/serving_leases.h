// Tracks serving leases granted to proxies and the latest time at which each may still be valid. Pure: no
// I/O, and the caller passes the times. The arithmetic of the bounds is in lease_bounds.h.
#pragma once

#include <cstdint>
#include <map>

#include "base/types.h"

namespace cairnhollow::registered::control {

class ServingLeases {
 public:
  /// `serving_lease`: duration of each lease.
  explicit ServingLeases(Duration serving_lease) : serving_lease_(serving_lease) {}

  /// Called when this node becomes leader. Discards leases from an earlier leadership of this node; those
  /// granted by other leaders since then expire at the latest one serving lease from `now`.
  void begin_leadership(TimePoint now);
  /// Records the proxy's current incarnation. Leases of any other incarnation are discarded.
  void begin_incarnation(const NodeName& proxy, std::uint64_t incarnation);
  /// Records a lease granted to the proxy's incarnation for a report that was received at `received_at` and
  /// stated that the proxy holds fleet revision `revision`.
  void grant(const NodeName& proxy, std::uint64_t incarnation, std::uint64_t revision, TimePoint received_at);
  /// The latest time at which the incarnation may hold a lease, from this leader or an earlier one.
  [[nodiscard]] TimePoint end_of(const NodeName& proxy, std::uint64_t incarnation) const;
  /// The highest fleet revision that the incarnation reported when it was granted a lease; 0 if this leader
  /// granted none.
  [[nodiscard]] std::uint64_t revision_of(const NodeName& proxy, std::uint64_t incarnation) const;

 private:
  struct Lease {
    std::uint64_t incarnation = 0;
    TimePoint until{};
    std::uint64_t revision = 0;
  };
  [[nodiscard]] const Lease* find(const NodeName& proxy, std::uint64_t incarnation) const;

  Duration serving_lease_;
  TimePoint elected_at_{};
  std::map<NodeName, Lease> leases_;
};

}  // namespace cairnhollow::registered::control
