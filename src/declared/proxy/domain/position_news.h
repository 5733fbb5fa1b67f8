// Wakes reads that are held until a replica of their group may have the position that they require.
#pragma once

#include <map>
#include <memory>

#include "base/types.h"
#include "runtime/signal.h"

namespace cairnhollow::declared::proxy {

/// Holds an entry for each group that reads are held for now, none for the others. `runtime` outlives it, and
/// it lives until the process ends.
class PositionNews {
 public:
  explicit PositionNews(runtime::Runtime& runtime) : runtime_(runtime) {}

  /// Returns at the next news of the group, or at `deadline`.
  Awaitable<void> wait_until(GroupName group, TimePoint deadline);
  /// A position of one of the group's members was learned, or that one failed.
  void notify(const GroupName& group);
  /// Reads held now.
  [[nodiscard]] std::size_t waiting() const { return waiting_; }

 private:
  runtime::Runtime& runtime_;
  std::map<GroupName, std::shared_ptr<runtime::Signal>> signals_;
  std::size_t waiting_ = 0;
};

}  // namespace cairnhollow::declared::proxy
