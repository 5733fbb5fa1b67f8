// A proxy's connection to a control node and its unanswered reports.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>

#include "runtime/network.h"

namespace cairnhollow::registered::proxy {

/// A control node that does not answer a report within this time is replaced by another one. The first report
/// on a connection has a longer timeout.
inline constexpr Duration kReportTimeout = std::chrono::milliseconds(600);
inline constexpr Duration kFirstReportTimeout = std::chrono::milliseconds(900);

struct ControlConversation {
  std::shared_ptr<runtime::FrameConnection> connection;
  Endpoint endpoint;
  std::map<std::uint64_t, TimePoint> unanswered;  ///< send times of unanswered reports, by nonce
  TimePoint last_report_at{};
  bool is_compressed = false;  ///< the control node compresses its deltas
  bool broken = false;
  bool answered = false;         ///< at least one report has been answered
  std::uint64_t bytes_seen = 0;  ///< bytes received as of the last is_stalled() call
  TimePoint last_progress_at{};  ///< when is_stalled() last found that `bytes_seen` had grown

  void close() {
    broken = true;
    connection->close();
  }
  /// Whether the oldest unanswered report has timed out and no bytes have arrived within the timeout, either.
  [[nodiscard]] bool is_stalled(TimePoint now);
};

}  // namespace cairnhollow::registered::proxy
