#include "registered/control/failover/promotion_turns.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cairnhollow::registered::control {

namespace {

constexpr double kDepthPart = 0.2;  ///< fraction of the rate; the refill is the remainder
constexpr double kLeastRefillPart =
    0.5;  ///< minimum refill, as a fraction of a rate of which a depth of one call leaves less

double depth_of(double rate_per_s) { return std::max(1.0, std::floor(rate_per_s * kDepthPart)); }

double refill_of(double rate_per_s) {
  return std::max(rate_per_s - depth_of(rate_per_s), rate_per_s * kLeastRefillPart);
}

}  // namespace

PromotionTurns::PromotionTurns(runtime::Runtime& runtime, double rate_per_s)
    : runtime_(runtime),
      refill_per_s_(refill_of(rate_per_s)),
      depth_(depth_of(rate_per_s)),
      calls_(depth_),
      refilled_at_(runtime.now()),
      taken_(runtime) {}

void PromotionTurns::refill() {
  const TimePoint now = runtime_.now();
  const double seconds = std::chrono::duration<double>(now - refilled_at_).count();
  calls_ = std::min(depth_, calls_ + seconds * refill_per_s_);
  refilled_at_ = now;
}

Awaitable<bool> PromotionTurns::take(std::uint64_t urgency) {
  if (refill_per_s_ <= 0) co_return true;
  const Place place{urgency, next_arrival_++};
  waiting_.insert(place);
  bool at_once = true;
  while (true) {
    refill();
    const bool is_first = *waiting_.begin() == place;
    if (is_first && calls_ >= 1) break;
    at_once = false;
    if (!is_first) {
      co_await taken_.wait();
      continue;
    }
    const double missing = std::max(0.0, 1 - calls_);
    const auto pause =
        std::chrono::ceil<std::chrono::milliseconds>(std::chrono::duration<double>(missing / refill_per_s_));
    co_await taken_.wait_until(runtime_.now() + std::max<Duration>(pause, std::chrono::milliseconds(1)));
  }
  calls_ -= 1;
  waiting_.erase(place);
  taken_.notify_all();
  co_return at_once;
}

}  // namespace cairnhollow::registered::control
