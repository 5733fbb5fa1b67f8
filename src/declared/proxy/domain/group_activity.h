// Tracks which database groups this proxy has served recently. Periodic work (freshness probes) is done only
// for these groups, so that its cost grows with what the proxy serves and not with all databases.
#pragma once

#include <map>

#include "base/types.h"

namespace cairnhollow::declared::proxy {

class GroupActivity {
 public:
  /// Records that a statement of the group arrived at `now`.
  void record(const GroupName& group, TimePoint now) { last_statement_[group] = now; }
  /// Removes groups whose last statement arrived more than kGroupActivityTime before `now`. Linear in the
  /// number of recorded groups.
  void forget_inactive(TimePoint now);
  /// The recorded groups by name, with the arrival time of their last statement.
  [[nodiscard]] const std::map<GroupName, TimePoint>& last_statements() const { return last_statement_; }

 private:
  std::map<GroupName, TimePoint> last_statement_;
};

}  // namespace cairnhollow::declared::proxy
