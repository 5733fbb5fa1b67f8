// How many statements may run at one backend at once. It begins with this proxy's share of the slots, grows
// while more at once means more served, and shrinks when it does not or the backend says that it is busy.
// Increase in steps and multiplicative decrease, with the latency at the share as the measure (as the
// expected and the actual rate in TCP Vegas, Brakmo and Peterson 1995; the long average in place of a minimum
// as in Gradient2Limit of Netflix's concurrency-limits). By Little's law what is served is what is under way
// divided by its latency: a latency that grows by less than what is under way is no queue. A disk that is
// slow for a while, whatever is under way, does not take the limit below the share.
#pragma once

#include <cstdint>

#include "base/types.h"

namespace cairnhollow::admission {

class ConcurrencyLimit {
 public:
  /// The limit moves between 1 and `maximum`. `share` is this proxy's part of the slots; the
  /// limit begins with it at the first call, and only busy() takes it lower. What is beyond it is borrowed:
  /// given back sooner, taken later.
  void set_bounds(std::uint32_t share, std::uint32_t maximum);

  /// At least 1.
  [[nodiscard]] std::uint32_t limit() const;
  /// A statement was answered (or given up on) after `latency`, with `in_flight` running when it began.
  void answered(Duration latency, std::uint32_t in_flight, TimePoint now);
  /// The backend refused a statement because its slots were taken.
  void busy(TimePoint now);
  /// What a statement takes of late; zero while nothing is known.
  [[nodiscard]] Duration expected_latency() const { return smoothed_; }

 private:
  void smooth(Duration latency, std::uint32_t in_flight, TimePoint now);
  void decrease(double factor, double floor, TimePoint now);
  void grow(TimePoint now);
  [[nodiscard]] bool backend_queues() const;
  [[nodiscard]] bool may_grow(TimePoint now) const;

  double limit_ = 0;  ///< zero: no bounds given yet
  double maximum_ = 1;
  std::uint32_t share_ = 1;
  Duration smoothed_{0};
  TimePoint smoothed_at_{};
  Duration reference_{0};  ///< latency with at most the share under way, over a long time
  TimePoint reference_at_{};
  TimePoint changed_at_{};
  TimePoint decreased_at_{};
  TimePoint busy_at_{};
  bool was_busy_ = false;
};

}  // namespace cairnhollow::admission
