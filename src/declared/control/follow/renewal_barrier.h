// What a control node waits for before it renews serving leases: proof that the configuration it holds was in
// force after the followers had asked.
#pragma once

#include "consensus/consensus.h"

namespace cairnhollow::declared::control {

class RenewalBarrier {
 public:
  virtual ~RenewalBarrier() = default;
  /// True once a quorum round that began after this call has confirmed everything accepted before it, and
  /// the local configuration holds that. Fails at once when it can't succeed.
  virtual Awaitable<bool> wait(TimePoint deadline, Reason& reason) = 0;
};

/// A member of the consensus group. `consensus` outlives it.
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
