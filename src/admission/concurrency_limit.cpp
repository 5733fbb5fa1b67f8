#include "admission/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace cairnhollow::admission {

namespace {

/// Maximum weight of the newest latency in the smoothed latency. Answers closer together weigh less: the time
/// since the previous answer divided by kLatencySmoothingTime.
constexpr double kMaximumLatencyWeight = 0.1;
constexpr Duration kLatencySmoothingTime = std::chrono::milliseconds(100);
/// Smoothing time of the reference latency, which is sampled only while at most the share is in flight.
constexpr Duration kReferenceSmoothingTime = std::chrono::seconds(2);
/// The backend is considered to queue when the smoothed latency exceeds this multiple of the reference
/// latency plus kLatencySlack,
constexpr double kLatencyTolerance = 2.0;
constexpr Duration kLatencySlack = std::chrono::milliseconds(5);
/// unless throughput is at least this multiple of the throughput at the share.
constexpr double kMinimumThroughputGain = 1.2;
constexpr double kLatencyDecreaseFactor = 0.9;  ///< factor, when latency indicates queueing
constexpr double kBusyDecreaseFactor = 0.75;    ///< factor, when the backend reports that it is busy
/// Replaces kBusyDecreaseFactor at or below this proxy's share, where other proxies have borrowed the missing
/// slots.
constexpr double kBusyDecreaseFactorInShare = 0.9;
/// Minimum time between decreases: the answers of one burst report the same congestion.
constexpr Duration kDecreaseInterval = std::chrono::milliseconds(50);
/// The limit grows by one part in kGrowthDivisor, and by at least one, once it has been unchanged for
/// kGrowthInterval and the statements in flight reach it.
constexpr double kGrowthDivisor = 8;
constexpr Duration kGrowthInterval = std::chrono::milliseconds(200);
/// Minimum time from a busy report to the next growth: below the share, and at or above it.
constexpr Duration kGrowthPauseBelowShare = std::chrono::milliseconds(200);
constexpr Duration kGrowthPauseAfterBusy = std::chrono::seconds(2);
/// Growth is by one for this long after a busy report.
constexpr Duration kCautiousGrowthAfterBusy = std::chrono::seconds(10);

/// Weighted by time rather than by answer, so that a stall that delays many answers counts once.
Duration moving_average(Duration previous, Duration latency, Duration elapsed, Duration smoothing) {
  const double age_ratio = static_cast<double>(elapsed.count()) / static_cast<double>(smoothing.count());
  const double weight = std::min(kMaximumLatencyWeight, age_ratio);
  return previous +
         Duration(static_cast<Duration::rep>(weight * static_cast<double>((latency - previous).count())));
}

}  // namespace

void ConcurrencyLimit::set_bounds(std::uint32_t share, std::uint32_t maximum) {
  maximum_ = std::max(1U, maximum);
  share_ = std::max(1U, share);
  if (limit_ < 1) limit_ = share_;
  limit_ = std::min(limit_, maximum_);
}

std::uint32_t ConcurrencyLimit::limit() const { return std::max(1U, static_cast<std::uint32_t>(limit_)); }

void ConcurrencyLimit::update_latency(Duration latency, std::uint32_t in_flight, TimePoint now) {
  if (smoothed_ == Duration(0)) {
    smoothed_ = reference_ = latency;
    smoothed_at_ = reference_at_ = now;
    changed_at_ = std::max(changed_at_, now);
    return;
  }
  smoothed_ = moving_average(smoothed_, latency, now - smoothed_at_, kLatencySmoothingTime);
  smoothed_at_ = now;
  if (in_flight > share_) return;
  reference_ = moving_average(reference_, latency, now - reference_at_, kReferenceSmoothingTime);
  reference_at_ = now;
}

bool ConcurrencyLimit::backend_queues() const {
  const auto reference = static_cast<double>(reference_.count());
  const auto latency = static_cast<double>(smoothed_.count());
  const bool slow = latency - static_cast<double>(kLatencySlack.count()) > kLatencyTolerance * reference;
  // Little's law: throughput at the current limit, as a multiple of the throughput at the share.
  const bool throughput_grows = limit_ * reference > kMinimumThroughputGain * share_ * latency;
  return slow && !throughput_grows;
}

void ConcurrencyLimit::answered(Duration latency, std::uint32_t in_flight, TimePoint now) {
  update_latency(latency, in_flight, now);
  const bool queues = limit() >= share_ && backend_queues();
  if (queues) {
    decrease(kLatencyDecreaseFactor, share_, now);
    return;
  }
  const bool at_limit = in_flight >= limit();
  if (at_limit && may_grow(now)) grow(now);
}

void ConcurrencyLimit::grow(TimePoint now) {
  const bool cautious = was_busy_ && now - busy_at_ < kCautiousGrowthAfterBusy;
  const double step = cautious ? 1 : std::max(1.0, std::floor(limit_ / kGrowthDivisor));
  limit_ = std::min(limit_ + step, maximum_);
  changed_at_ = now;
}

void ConcurrencyLimit::busy(TimePoint now) {
  busy_at_ = now;
  was_busy_ = true;
  decrease(limit() > share_ ? kBusyDecreaseFactor : kBusyDecreaseFactorInShare, 1, now);
}

bool ConcurrencyLimit::may_grow(TimePoint now) const {
  if (now - changed_at_ < kGrowthInterval) return false;
  const Duration pause = limit() >= share_ ? kGrowthPauseAfterBusy : kGrowthPauseBelowShare;
  return !was_busy_ || now - busy_at_ >= pause;
}

void ConcurrencyLimit::decrease(double factor, double floor, TimePoint now) {
  if (now - decreased_at_ < kDecreaseInterval && decreased_at_ != TimePoint{}) return;
  limit_ = std::max(std::min(floor, limit_), limit_ * factor);
  decreased_at_ = now;
  changed_at_ = now;
}

}  // namespace cairnhollow::admission
