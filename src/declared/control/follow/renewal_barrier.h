// Barrier that a control node passes before renewing serving leases: proof that its configuration was current
// after the requests arrived.
#pragma once

#include "consensus/consensus.h"

namespace cairnhollow::declared::control {

class RenewalBarrier {
 public:
  virtual ~RenewalBarrier() = default;
  /// Returns true once a quorum round that began after this call has confirmed everything accepted before it
  /// and the local configuration includes it. Returns false with `reason` by `deadline`, or immediately if it
  /// cannot succeed.
  virtual Awaitable<bool> wait(TimePoint deadline, Reason& reason) = 0;
};

/// Barrier for a member of the consensus group. `consensus` is not owned and must outlive this object.
class ConsensusBarrier : public RenewalBarrier {
 public:
  explicit ConsensusBarrier(consensus::Consensus& consensus) : consensus_(consensus) {}
  Awaitable<bool> wait(TimePoint deadline, Reason& reason) override {
    const auto index = co_await consensus_.read_barrier(deadline, reason);
    co_return index.has_value();
  }

 private:
  consensus::Consensus& consensus_;
};

}  // namespace cairnhollow::declared::control
