// Which database groups this proxy has served lately. What a proxy does on a schedule (freshness probes) is
// done for these groups only, so that its cost grows with what the proxy serves and not with all databases.
#pragma once

#include <map>

#include "base/types.h"

namespace cairnhollow::declared::proxy {

class GroupActivity {
 public:
  /// A statement of the group has arrived at `now`.
  void record(const GroupName& group, TimePoint now) { last_statement_[group] = now; }
  /// Forgets groups whose last statement arrived more than kGroupActivityTime before `now`. Cost: one look at
  /// each group that is remembered.
  void forget_inactive(TimePoint now);
  /// The groups remembered, by name, with the time of their last statement.
  [[nodiscard]] const std::map<GroupName, TimePoint>& last_statements() const { return last_statement_; }

 private:
  std::map<GroupName, TimePoint> last_statement_;
};

}  // namespace cairnhollow::declared::proxy
