// One connection of a proxy to a control node, and what was asked on it.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>

#include "runtime/network.h"

namespace cairnhollow::registered::proxy {

/// Without an answer for this long another control node is asked.
inline constexpr Duration kReportTimeout = std::chrono::milliseconds(600);
inline constexpr Duration kFirstReportTimeout = std::chrono::milliseconds(900);

struct ControlConversation {
  std::shared_ptr<runtime::FrameConnection> connection;
  Endpoint endpoint;
  std::map<std::uint64_t, TimePoint> asked;  ///< when the reports not yet answered were sent, by nonce
  TimePoint last_asked_at{};
  bool is_compressed = false;  ///< deltas come compressed
  bool broken = false;
  bool answered = false;    ///< at least once
  std::uint64_t bytes = 0;  ///< that had come when last looked at
  TimePoint bytes_at{};     ///< when more were found to have come

  void close() {
    broken = true;
    connection->close();
  }
  /// No answer in time, and nothing of one on its way.
  [[nodiscard]] bool is_stalled(TimePoint now);
};

}  // namespace cairnhollow::registered::proxy
