// Estimates how much of its machine's network link this process uses.
#pragma once

#include <chrono>
#include <cstdint>

#include "base/types.h"
#include "runtime/traffic.h"

namespace cairnhollow::registered::overload {

/// Headers of TCP, IP and Ethernet for one message, in bytes; most messages fit into one packet.
inline constexpr double kMessageOverheadBytes = 66;

class LinkLoad {
 public:
  /// `link_rate`: of the machine's link in Mbit/s; must be positive.
  explicit LinkLoad(double link_rate) : bytes_per_s_(link_rate * 1e6 / 8) {}

  /// Returns the used part of the link since the last call, 0 to 1 and above 1 while more is queued than the
  /// link carries. `traffic`: totals at `now`. 0 for the first call.
  double measure(const runtime::Traffic& traffic, TimePoint now) {
    const double bytes =
        static_cast<double>(traffic.sent_bytes - previous_.sent_bytes) +
        kMessageOverheadBytes * static_cast<double>(traffic.sent_messages - previous_.sent_messages);
    const double elapsed_s = std::chrono::duration<double>(now - measured_at_).count();
    const bool is_first = measured_at_ == TimePoint{};
    previous_ = traffic;
    measured_at_ = now;
    return is_first || elapsed_s <= 0 ? 0 : bytes / (elapsed_s * bytes_per_s_);
  }

 private:
  double bytes_per_s_;
  runtime::Traffic previous_;
  TimePoint measured_at_{};
};

}  // namespace cairnhollow::registered::overload
