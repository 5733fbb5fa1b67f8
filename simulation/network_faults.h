// Latency, loss and cuts of the simulated network, by zone and by machine.
#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "base/types.h"

namespace cairnhollow::simulation {

/// One-way latencies. Jitter is drawn uniformly from [0, latency * jitter_fraction).
struct LatencySettings {
  Duration within_zone_low = std::chrono::microseconds(100);
  Duration within_zone_high = std::chrono::microseconds(300);
  Duration between_zones = std::chrono::microseconds(1500);
  std::map<ZoneName, Duration> to_zone;  ///< zones whose latency to every other zone differs
  double jitter_fraction = 0.2;
};

/// A machine as the network sees it.
struct NetworkPlace {
  ZoneName zone;
  std::string address;
};

/// Which messages are held up or delayed. Directed: a cut from A to B leaves B to A alone.
class NetworkFaults {
 public:
  NetworkFaults(LatencySettings latency, std::uint64_t seed) : latency_(std::move(latency)), random_(seed) {}

  void cut_zones(const ZoneName& from, const ZoneName& to) { zone_cuts_.insert({from, to}); }
  void cut_machines(const std::string& from, const std::string& to) { machine_cuts_.insert({from, to}); }
  /// Removes every cut.
  void heal() {
    zone_cuts_.clear();
    machine_cuts_.clear();
  }
  void heal_machines(const std::string& from, const std::string& to) { machine_cuts_.erase({from, to}); }
  /// Share of messages lost, in [0, 1); streams send them again, which shows as delay.
  void set_loss(double share) { loss_ = share; }

  [[nodiscard]] bool blocked(const NetworkPlace& from, const NetworkPlace& to) const {
    return zone_cuts_.contains({from.zone, to.zone}) || machine_cuts_.contains({from.address, to.address});
  }
  /// The one-way delay of one message, retransmissions included.
  Duration delay(const NetworkPlace& from, const NetworkPlace& to);
  /// True when a retransmitted message was lost so often that the stream breaks.
  [[nodiscard]] bool last_delay_broke_stream() const { return broke_stream_; }
  std::uint64_t random_below(std::uint64_t bound);
  double random_unit();

 private:
  [[nodiscard]] Duration base_latency(const NetworkPlace& from, const NetworkPlace& to);

  LatencySettings latency_;
  boost::random::mt19937_64 random_;
  double loss_ = 0;
  bool broke_stream_ = false;
  std::set<std::pair<ZoneName, ZoneName>> zone_cuts_;
  std::set<std::pair<std::string, std::string>> machine_cuts_;
};

}  // namespace cairnhollow::simulation
