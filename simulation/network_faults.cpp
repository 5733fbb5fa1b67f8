#include "simulation/network_faults.h"

#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace cairnhollow::simulation {

namespace {

// Retransmission as in Linux TCP: a tail loss probe after about two round trips (RFC 8985, section 7),
// then timeouts that double from the minimum (RFC 6298, with the kernel's 200 ms lower bound).
constexpr Duration kLossProbeMinimum = std::chrono::milliseconds(10);
constexpr Duration kRetransmissionTimeout = std::chrono::milliseconds(200);
constexpr int kRetransmissionsToBreak = 8;

Duration scaled(Duration value, double factor) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(value.count()) * factor));
}

}  // namespace

std::uint64_t NetworkFaults::random_below(std::uint64_t bound) {
  return boost::random::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random_);
}

double NetworkFaults::random_unit() { return boost::random::uniform_01<double>()(random_); }

Duration NetworkFaults::base_latency(const NetworkPlace& from, const NetworkPlace& to) {
  if (from.zone == to.zone) {
    const Duration span = latency_.within_zone_high - latency_.within_zone_low;
    return latency_.within_zone_low + scaled(span, random_unit());
  }
  Duration latency = latency_.between_zones;
  for (const ZoneName& zone : {from.zone, to.zone}) {
    const auto special = latency_.to_zone.find(zone);
    if (special != latency_.to_zone.end()) latency = special->second;
  }
  return latency + scaled(latency, latency_.jitter_fraction * random_unit());
}

Duration NetworkFaults::delay(const NetworkPlace& from, const NetworkPlace& to) {
  const Duration latency = base_latency(from, to);
  Duration total = latency;
  broke_stream_ = false;
  int losses = 0;
  while (loss_ > 0 && random_unit() < loss_) {
    ++losses;
    total += losses == 1 ? kLossProbeMinimum + 4 * latency : kRetransmissionTimeout * (1 << (losses - 2));
    broke_stream_ = losses >= kRetransmissionsToBreak;
    if (broke_stream_) break;
  }
  return total;
}

}  // namespace cairnhollow::simulation
