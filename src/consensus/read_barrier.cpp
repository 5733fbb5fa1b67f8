#include "consensus/read_barrier.h"

namespace cairnhollow::consensus {

ReadBarrier::ReadBarrier(RaftState& state, RoundFunction run_round)
    : state_(state), run_round_(std::move(run_round)), applied_(state.runtime()) {}

Awaitable<std::optional<std::uint64_t>> ReadBarrier::wait(TimePoint deadline, Reason& reason) {
  if (next_round_ == nullptr) next_round_ = std::make_shared<Round>(state_.runtime());
  const std::shared_ptr<Round> round = next_round_;
  if (!running_) {
    running_ = true;
    state_.runtime().spawn("consensus_read_rounds", run_rounds());
  }
  bool in_time = true;
  while (!round->done && in_time) in_time = co_await round->changed.wait_until(deadline);
  if (!round->done) {
    reason = Reason{ReasonCode::kDeadlineExceeded, "read_barrier", "",
                    "no read index was confirmed before the deadline"};
    co_return std::nullopt;
  }
  if (!round->index) {
    reason = round->reason;
    co_return std::nullopt;
  }
  const bool applied = co_await wait_applied(*round->index, deadline, reason);
  if (!applied) co_return std::nullopt;
  co_return round->index;
}

Awaitable<void> ReadBarrier::run_rounds() {
  while (next_round_ != nullptr) {
    const std::shared_ptr<Round> round = std::move(next_round_);
    next_round_ = nullptr;
    round->index = co_await run_round_(round->reason);
    round->done = true;
    round->changed.notify_all();
  }
  running_ = false;
}

Awaitable<bool> ReadBarrier::wait_applied(std::uint64_t index, TimePoint deadline, Reason& reason) {
  bool in_time = true;
  while (state_.applied_index() < index && !state_.halted() && in_time) {
    in_time = co_await applied_.wait_until(deadline);
  }
  if (state_.halted()) {
    reason = state_.halt_reason();
    co_return false;
  }
  if (state_.applied_index() >= index) co_return true;
  reason = Reason{ReasonCode::kDeadlineExceeded, "read_barrier", "",
                  "entries up to the read index were not applied before the deadline"};
  co_return false;
}

}  // namespace cairnhollow::consensus
