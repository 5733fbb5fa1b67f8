#include "registered/scheduling/service_times.h"

#include <algorithm>

namespace cairnhollow::registered::scheduling {

namespace {

std::size_t route_class(const SlotRequest& request) {
  return std::min<std::size_t>(request.route_priority, kDemandClasses - 1);
}

}  // namespace

std::size_t demand_class(const SlotRequest& request) {
  return request.in_transaction ? 0 : route_class(request);
}

void ServiceTimes::Average::add(Duration sample, TimePoint now) {
  const bool is_known = smoothed > Duration(0) && now - sampled_at < kServiceMemory;
  smoothed = is_known ? smoothed + (sample - smoothed) / kServiceSmoothing : sample;
  sampled_at = now;
}

Duration ServiceTimes::Average::value(TimePoint now) const {
  const bool is_known = smoothed > Duration(0) && now - sampled_at < kServiceMemory;
  return is_known ? std::max(smoothed, Duration(kShortestService)) : Duration(kAssumedService);
}

void ServiceTimes::record(const SlotRequest& request, Duration held, TimePoint now) {
  by_class_[request.in_transaction ? 1 : 0][route_class(request)].add(held, now);
  all_.add(held, now);
}

void ServiceTimes::record_unanswered(const SlotRequest& request, Duration held, TimePoint now) {
  if (held > expected(request, now)) record(request, held, now);
}

Duration ServiceTimes::expected(const SlotRequest& request, TimePoint now) const {
  return by_class_[request.in_transaction ? 1 : 0][route_class(request)].value(now);
}

}  // namespace cairnhollow::registered::scheduling
