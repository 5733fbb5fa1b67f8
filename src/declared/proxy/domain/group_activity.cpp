#include "declared/proxy/domain/group_activity.h"

#include "declared/proxy/knobs.h"

namespace cairnhollow::declared::proxy {

void GroupActivity::forget_inactive(TimePoint now) {
  std::erase_if(last_statement_,
                [now](const auto& entry) { return now - entry.second > kGroupActivityTime; });
}

}  // namespace cairnhollow::declared::proxy
