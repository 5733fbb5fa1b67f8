// A consensus group of one for tests: what is proposed is applied at once.
#pragma once

#include <functional>
#include <string>
#include <utility>

#include "consensus/consensus.h"

namespace cairnhollow::tests {

class AppliedLog : public consensus::Consensus {
 public:
  explicit AppliedLog(consensus::ReplicatedStateMachine& machine) : machine_(machine) {}

  Awaitable<std::optional<std::uint64_t>> propose(std::string command, TimePoint /*deadline*/,
                                                  Reason& /*reason*/) override {
    machine_.apply(++index_, command);
    co_return index_;
  }
  Awaitable<std::optional<std::uint64_t>> read_barrier(TimePoint /*deadline*/, Reason& /*reason*/) override {
    if (during_barrier) std::exchange(during_barrier, nullptr)();
    co_return index_;
  }
  Awaitable<bool> add_member(consensus::Member /*member*/, TimePoint /*deadline*/,
                             Reason& /*reason*/) override {
    co_return false;
  }
  Awaitable<bool> remove_member(NodeName /*node*/, TimePoint /*deadline*/, Reason& /*reason*/) override {
    co_return false;
  }
  Awaitable<bool> replace_member(NodeName /*lost*/, consensus::Member /*replacement*/, TimePoint /*deadline*/,
                                 Reason& /*reason*/) override {
    co_return false;
  }
  /// What happens during the next quorum round.
  std::function<void()> during_barrier;

  [[nodiscard]] consensus::ConsensusStatus status() const override {
    consensus::ConsensusStatus status;
    status.state = consensus::ServerState::kLeader;
    status.term = 1;
    return status;
  }

 private:
  consensus::ReplicatedStateMachine& machine_;
  std::uint64_t index_ = 0;
};

}  // namespace cairnhollow::tests
