#include "declared/proxy/calls/decision_log.h"

#include <algorithm>

namespace cairnhollow::declared::proxy {

void DecisionLog::record(const std::optional<RequestId>& request_id, const routing::Decision& decision) {
  if (!request_id) return;
  if (entries_.size() >= kMaximumDecisions) entries_.pop_front();
  entries_.push_back(Entry{*request_id, decision});
}

std::optional<routing::Decision> DecisionLog::find(const RequestId& request_id) const {
  const auto newest = std::find_if(entries_.rbegin(), entries_.rend(),
                                   [&](const Entry& entry) { return entry.request_id == request_id; });
  if (newest == entries_.rend()) return std::nullopt;
  return newest->decision;
}

}  // namespace cairnhollow::declared::proxy
