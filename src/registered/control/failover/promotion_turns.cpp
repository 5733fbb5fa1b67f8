#include "registered/control/failover/promotion_turns.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cairnhollow::registered::control {

namespace {

constexpr double kDepthFraction = 0.2;  ///< fraction of the rate; the refill is the remainder
/// Minimum refill as a fraction of the rate. Applies to rates of which a depth of one call leaves less.
constexpr double kMinRefillFraction = 0.5;

double bucket_depth(double rate_per_s) { return std::max(1.0, std::floor(rate_per_s * kDepthFraction)); }

double refill_rate(double rate_per_s) {
  return std::max(rate_per_s - bucket_depth(rate_per_s), rate_per_s * kMinRefillFraction);
}

}  // namespace

PromotionTurns::PromotionTurns(runtime::Runtime& runtime, double rate_per_s)
    : runtime_(runtime),
      refill_per_s_(refill_rate(rate_per_s)),
      depth_(bucket_depth(rate_per_s)),
      tokens_(depth_),
      refilled_at_(runtime.now()),
      acquired_(runtime) {}

void PromotionTurns::refill() {
  const TimePoint now = runtime_.now();
  const double seconds = std::chrono::duration<double>(now - refilled_at_).count();
  tokens_ = std::min(depth_, tokens_ + seconds * refill_per_s_);
  refilled_at_ = now;
}

Awaitable<bool> PromotionTurns::acquire(std::uint64_t urgency) {
  if (refill_per_s_ <= 0) co_return true;
  const Waiter self{urgency, next_arrival_++};
  waiting_.insert(self);
  bool immediate = true;
  while (true) {
    refill();
    const bool is_first = *waiting_.begin() == self;
    if (is_first && tokens_ >= 1) break;
    immediate = false;
    if (!is_first) {
      co_await acquired_.wait();
      continue;
    }
    const double missing = std::max(0.0, 1 - tokens_);
    const auto pause =
        std::chrono::ceil<std::chrono::milliseconds>(std::chrono::duration<double>(missing / refill_per_s_));
    co_await acquired_.wait_until(runtime_.now() + std::max<Duration>(pause, std::chrono::milliseconds(1)));
  }
  tokens_ -= 1;
  waiting_.erase(self);
  acquired_.notify_all();
  co_return immediate;
}

}  // namespace cairnhollow::registered::control
