#include "standins/callers/latency_histogram.h"

#include <algorithm>

namespace cairnhollow::standins::callers {

namespace {

// 800 bins over eight decades: an edge is about 2.3% above the one before.
constexpr unsigned kBins = 800;
constexpr double kLowestNanoseconds = 1e3;
constexpr double kHighestNanoseconds = 1e11;

}  // namespace

LatencyHistogram::LatencyHistogram()
    : bins_(boost::histogram::make_histogram(Axis(kBins, kLowestNanoseconds, kHighestNanoseconds))) {}

void LatencyHistogram::record(Duration latency) {
  bins_(static_cast<double>(std::max<Duration::rep>(latency.count(), 1)));
  ++count_;
  max_ = std::max(max_, latency);
}

Duration LatencyHistogram::quantile(double share) const {
  if (count_ == 0) return Duration{0};
  const double wanted = share * static_cast<double>(count_);
  double seen = bins_.at(-1);
  if (seen >= wanted) return std::min(max_, Duration(static_cast<Duration::rep>(kLowestNanoseconds)));
  const Axis& axis = bins_.axis();
  for (int bin = 0; bin < axis.size(); ++bin) {
    seen += bins_.at(bin);
    if (seen >= wanted) return std::min(max_, Duration(static_cast<Duration::rep>(axis.bin(bin).upper())));
  }
  return max_;
}

}  // namespace cairnhollow::standins::callers
