// Keeps the routing decisions of recent requests, for `explain`.
#pragma once

#include <deque>
#include <map>
#include <optional>

#include "declared/routing/decision.h"

namespace cairnhollow::declared::proxy {

/// Maximum number of decisions kept.
inline constexpr std::size_t kMaximumDecisions = 1024;

/// A bounded queue. If a request was decided on more than once, its last decision is found.
class DecisionLog {
 public:
  /// Does nothing for a statement without a request id.
  void record(const std::optional<RequestId>& request_id, const routing::Decision& decision);
  [[nodiscard]] std::optional<routing::Decision> find(const RequestId& request_id) const;

 private:
  struct Entry {
    RequestId request_id;
    routing::Decision decision;
  };
  std::deque<Entry> entries_;  ///< oldest first
};

}  // namespace cairnhollow::declared::proxy
