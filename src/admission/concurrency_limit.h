// Adaptive limit on the statements that run at one backend concurrently. It starts at this proxy's share of
// the backend's slots, grows while higher concurrency raises throughput, and shrinks when it does not or when
// the backend reports that it is busy.
// Additive increase and multiplicative decrease (AIMD), driven by latency relative to the latency at the
// share, as the expected and actual rates in TCP Vegas (Brakmo and Peterson 1995), with a long moving average
// in place of a minimum as in Gradient2Limit of Netflix's concurrency-limits. By Little's law throughput is
// concurrency divided by latency, so latency that grows more slowly than concurrency does not indicate a
// queue. A disk that is temporarily slow regardless of concurrency does not take the limit below the share.
#pragma once

#include <cstdint>

#include "base/types.h"

namespace cairnhollow::admission {

class ConcurrencyLimit {
 public:
  /// The limit stays between 1 and `maximum`, both in statements. `share` is this proxy's part of the
  /// backend's slots: the limit starts there on the first call, and only busy() lowers it further. Slots
  /// beyond the share are borrowed: the limit gives them up sooner and takes them later.
  void set_bounds(std::uint32_t share, std::uint32_t maximum);

  /// At least 1.
  [[nodiscard]] std::uint32_t limit() const;
  /// Records that a statement was answered or abandoned after `latency`. `in_flight` is the number of
  /// statements running when it began.
  void answered(Duration latency, std::uint32_t in_flight, TimePoint now);
  /// Records that the backend refused a statement because all its slots were taken.
  void busy(TimePoint now);
  /// Smoothed latency of recent statements; zero before the first answer.
  [[nodiscard]] Duration expected_latency() const { return smoothed_; }

 private:
  void update_latency(Duration latency, std::uint32_t in_flight, TimePoint now);
  void decrease(double factor, double floor, TimePoint now);
  void grow(TimePoint now);
  [[nodiscard]] bool backend_queues() const;
  [[nodiscard]] bool may_grow(TimePoint now) const;

  double limit_ = 0;  ///< zero until set_bounds() is called
  double maximum_ = 1;
  std::uint32_t share_ = 1;
  Duration smoothed_{0};
  TimePoint smoothed_at_{};
  Duration reference_{0};  ///< long-term latency with at most `share_` statements in flight
  TimePoint reference_at_{};
  TimePoint changed_at_{};
  TimePoint decreased_at_{};
  TimePoint busy_at_{};
  bool was_busy_ = false;
};

}  // namespace cairnhollow::admission
