// Latencies on a logarithmic axis (Boost.Histogram): constant relative error over microseconds to minutes.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>

#include "base/types.h"

namespace cairnhollow::standins::callers {

class LatencyHistogram {
 public:
  LatencyHistogram();

  void record(Duration latency);
  [[nodiscard]] std::uint64_t count() const { return count_; }
  [[nodiscard]] Duration max() const { return max_; }
  /// The upper edge of the bin that holds the given share (0 to 1) of latencies, never above max().
  [[nodiscard]] Duration quantile(double share) const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

  boost::histogram::histogram<std::tuple<Axis>> bins_;
  std::uint64_t count_ = 0;
  Duration max_{0};
};

}  // namespace cairnhollow::standins::callers
