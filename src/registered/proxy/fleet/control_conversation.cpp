#include "registered/proxy/fleet/control_conversation.h"

#include <algorithm>

namespace cairnhollow::registered::proxy {

bool ControlConversation::is_stalled(TimePoint now) {
  const std::uint64_t received = connection->bytes_received();
  if (received != bytes) bytes_at = now;
  bytes = received;
  if (asked.empty()) return false;
  // The first answer may queue behind those of many other proxies. A large answer counts as progress while
  // its bytes keep arriving.
  const Duration limit = answered ? kReportTimeout : kFirstReportTimeout;
  return now - std::max(asked.begin()->second, bytes_at) > limit;
}

}  // namespace cairnhollow::registered::proxy
