// Closed-loop simulation, without I/O, of callers of one backend behind a ConcurrencyLimit. Models a disk
// with group commit, a disk with noisy latency, and a saturated backend.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <random>

#include "admission/concurrency_limit.h"

namespace cairnhollow::admission::testing {

struct LoopResult {
  double throughput_per_second = 0;
  double mean_limit = 0;
};

class SyntheticLoop {
 public:
  /// Service time of one batch as a function of the number of statements in flight. With `is_group_commit`
  /// (group commit) a batch is all waiting statements, otherwise it is one statement.
  using ServiceTime = std::function<Duration(std::uint32_t concurrency)>;

  SyntheticLoop(std::uint32_t callers, bool is_group_commit, ServiceTime service_time)
      : callers_(callers), is_group_commit_(is_group_commit), service_time_(std::move(service_time)) {}

  /// Runs for `warm_up`, then measures for `time`. With a null `limit` all callers run concurrently.
  LoopResult run(ConcurrencyLimit* limit, Duration warm_up, Duration time) {
    const TimePoint measured_from = now_ + warm_up;
    const TimePoint end = measured_from + time;
    std::uint64_t served = 0;
    double limits = 0;
    std::uint64_t rounds = 0;
    while (now_ < end) {
      admit(limit);
      const auto concurrency = static_cast<std::uint32_t>(waiting_.size());
      const std::size_t taken = is_group_commit_ ? waiting_.size() : 1;
      now_ += service_time_(concurrency);
      answer(limit, taken);
      if (now_ < measured_from) continue;
      served += taken;
      ++rounds;
      if (limit != nullptr) limits += limit->limit();
    }
    const double seconds = std::chrono::duration<double>(time).count();
    return {static_cast<double>(served) / seconds,
            limits / static_cast<double>(std::max<std::uint64_t>(1, rounds))};
  }

 private:
  struct Statement {
    TimePoint began;
    std::uint32_t in_flight;
  };

  void admit(const ConcurrencyLimit* limit) {
    const std::uint32_t maximum_in_flight = limit == nullptr ? callers_ : std::min(callers_, limit->limit());
    while (waiting_.size() < maximum_in_flight) {
      waiting_.push_back({now_, static_cast<std::uint32_t>(waiting_.size()) + 1});
    }
  }

  void answer(ConcurrencyLimit* limit, std::size_t taken) {
    for (; taken > 0; --taken) {
      const Statement statement = waiting_.front();
      waiting_.pop_front();
      if (limit != nullptr) limit->answered(now_ - statement.began, statement.in_flight, now_);
    }
  }

  std::uint32_t callers_;
  bool is_group_commit_;
  ServiceTime service_time_;
  std::deque<Statement> waiting_;
  TimePoint now_ = TimePoint(std::chrono::seconds(100));
};

}  // namespace cairnhollow::admission::testing
