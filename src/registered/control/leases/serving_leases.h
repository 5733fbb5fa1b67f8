// The serving leases that this control node's side of the fleet promised to proxies, and until when each may
// hold. Pure: no I/O, and the caller gives the times. The bounds' arithmetic is in lease_bounds.h.
#pragma once

#include <cstdint>
#include <map>

#include "base/types.h"

namespace cairnhollow::registered::control {

class ServingLeases {
 public:
  /// `serving_lease`: how long each lease is.
  explicit ServingLeases(Duration serving_lease) : serving_lease_(serving_lease) {}

  /// This node was elected: what it gave in an earlier lead says nothing any more, and what others gave since
  /// runs out one serving lease from now at the latest.
  void begin_lead(TimePoint now);
  /// This incarnation of the proxy runs now: what another one was given is over.
  void begin_incarnation(const NodeName& proxy, std::uint64_t incarnation);
  /// The incarnation of the proxy was given a lease for a question that was received at `asked`, in which it
  /// said that it holds `revision` of the fleet.
  void grant(const NodeName& proxy, std::uint64_t incarnation, std::uint64_t revision, TimePoint asked);
  /// The latest moment at which that incarnation may hold a lease, of this leader or of one before.
  [[nodiscard]] TimePoint end_of(const NodeName& proxy, std::uint64_t incarnation) const;
  /// The newest revision that it said it holds when it was given a lease; 0: this leader gave it none.
  [[nodiscard]] std::uint64_t revision_of(const NodeName& proxy, std::uint64_t incarnation) const;

 private:
  struct Lease {
    std::uint64_t incarnation = 0;
    TimePoint until{};
    std::uint64_t revision = 0;
  };
  [[nodiscard]] const Lease* find(const NodeName& proxy, std::uint64_t incarnation) const;

  Duration serving_lease_;
  TimePoint leads_since_{};
  std::map<NodeName, Lease> leases_;
};

}  // namespace cairnhollow::registered::control
