#include "registered/proxy/fleet/control_conversation.h"

#include <algorithm>

namespace cairnhollow::registered::proxy {

bool ControlConversation::is_stalled(TimePoint now) {
  const std::uint64_t received = connection->bytes_received();
  if (received != bytes_seen) last_progress_at = now;
  bytes_seen = received;
  if (unanswered.empty()) return false;
  // The first answer may queue behind those of many other proxies. A large answer counts as progress while
  // its bytes keep arriving.
  const Duration limit = answered ? kReportTimeout : kFirstReportTimeout;
  return now - std::max(unanswered.begin()->second, last_progress_at) > limit;
}

}  // namespace cairnhollow::registered::proxy
