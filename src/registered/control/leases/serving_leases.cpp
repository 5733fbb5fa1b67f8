#include "registered/control/leases/serving_leases.h"

#include <algorithm>

namespace cairnhollow::registered::control {

void ServingLeases::begin_leadership(TimePoint now) {
  elected_at_ = now;
  leases_.clear();
}

void ServingLeases::begin_incarnation(const NodeName& proxy, std::uint64_t incarnation) {
  Lease& lease = leases_[proxy];
  if (lease.incarnation != incarnation) lease = Lease{incarnation, {}, 0};
}

void ServingLeases::grant(const NodeName& proxy, std::uint64_t incarnation, std::uint64_t revision,
                          TimePoint received_at) {
  begin_incarnation(proxy, incarnation);
  Lease& lease = leases_[proxy];
  lease.revision = std::max(lease.revision, revision);
  lease.until = std::max(lease.until, received_at + serving_lease_);
}

const ServingLeases::Lease* ServingLeases::find(const NodeName& proxy, std::uint64_t incarnation) const {
  const auto found = leases_.find(proxy);
  return found != leases_.end() && found->second.incarnation == incarnation ? &found->second : nullptr;
}

TimePoint ServingLeases::end_of(const NodeName& proxy, std::uint64_t incarnation) const {
  const TimePoint earlier_leader_end = elected_at_ + serving_lease_;
  const Lease* lease = find(proxy, incarnation);
  return lease == nullptr ? earlier_leader_end : std::max(earlier_leader_end, lease->until);
}

std::uint64_t ServingLeases::revision_of(const NodeName& proxy, std::uint64_t incarnation) const {
  const Lease* lease = find(proxy, incarnation);
  return lease == nullptr ? 0 : lease->revision;
}

}  // namespace cairnhollow::registered::control
