#include "admission/concurrency_limit.h"

#include <algorithm>
#include <cmath>

#include "declared/backend/pool_knobs.h"

namespace cairnhollow::backend {

namespace {

/// By time, not by answers: a stall that held up many of them counts once.
Duration average(Duration before, Duration latency, Duration since, Duration smoothing) {
  const double part = static_cast<double>(since.count()) / static_cast<double>(smoothing.count());
  const double weight = std::min(kLatencyWeight, part);
  return before +
         Duration(static_cast<Duration::rep>(weight * static_cast<double>((latency - before).count())));
}

}  // namespace

void ConcurrencyLimit::set_bounds(std::uint32_t share, std::uint32_t maximum) {
  maximum_ = std::max(1U, maximum);
  share_ = std::max(1U, share);
  if (limit_ < 1) limit_ = share_;
  limit_ = std::min(limit_, maximum_);
}

std::uint32_t ConcurrencyLimit::limit() const { return std::max(1U, static_cast<std::uint32_t>(limit_)); }

void ConcurrencyLimit::smooth(Duration latency, std::uint32_t in_flight, TimePoint now) {
  if (smoothed_ == Duration(0)) {
    smoothed_ = reference_ = latency;
    smoothed_at_ = reference_at_ = now;
    changed_at_ = std::max(changed_at_, now);
    return;
  }
  smoothed_ = average(smoothed_, latency, now - smoothed_at_, kLatencySmoothing);
  smoothed_at_ = now;
  if (in_flight > share_) return;
  reference_ = average(reference_, latency, now - reference_at_, kReferenceSmoothing);
  reference_at_ = now;
}

bool ConcurrencyLimit::backend_queues() const {
  const auto reference = static_cast<double>(reference_.count());
  const auto latency = static_cast<double>(smoothed_.count());
  const bool slow = latency - static_cast<double>(kLatencySlack.count()) > kLatencyTolerance * reference;
  // Little's law: what is served with the limit under way, as a multiple of what is served with the share.
  const bool serves_more = limit_ * reference > kServedMore * share_ * latency;
  return slow && !serves_more;
}

void ConcurrencyLimit::answered(Duration latency, std::uint32_t in_flight, TimePoint now) {
  smooth(latency, in_flight, now);
  const bool queues = limit() >= share_ && backend_queues();
  if (queues) {
    decrease(kLatencyDecrease, share_, now);
    return;
  }
  const bool at_limit = in_flight >= limit();
  if (at_limit && may_grow(now)) grow(now);
}

void ConcurrencyLimit::grow(TimePoint now) {
  const bool cautious = was_busy_ && now - busy_at_ < kCautionAfterBusy;
  const double step = cautious ? 1 : std::max(1.0, std::floor(limit_ / kGrowthPart));
  limit_ = std::min(limit_ + step, maximum_);
  changed_at_ = now;
}

void ConcurrencyLimit::busy(TimePoint now) {
  busy_at_ = now;
  was_busy_ = true;
  decrease(limit() > share_ ? kBusyDecrease : kBusyDecreaseInShare, 1, now);
}

bool ConcurrencyLimit::may_grow(TimePoint now) const {
  if (now - changed_at_ < kGrowthInterval) return false;
  const Duration pause = limit() >= share_ ? kGrowthPauseAfterBusy : kGrowthPauseInShare;
  return !was_busy_ || now - busy_at_ >= pause;
}

void ConcurrencyLimit::decrease(double factor, double floor, TimePoint now) {
  if (now - decreased_at_ < kDecreaseInterval && decreased_at_ != TimePoint{}) return;
  limit_ = std::max(std::min(floor, limit_), limit_ * factor);
  decreased_at_ = now;
  changed_at_ = now;
}

}  // namespace cairnhollow::backend
