// Wakes reads that are held until a replica of their group may have reached the position they require.
#pragma once

#include <map>
#include <memory>

#include "base/types.h"
#include "runtime/signal.h"

namespace cairnhollow::declared::proxy {

/// Holds an entry only for groups with held reads. `runtime` is not owned and must outlive this object, which
/// lives until the process ends.
class PositionSignals {
 public:
  explicit PositionSignals(runtime::Runtime& runtime) : runtime_(runtime) {}

  /// Returns at the next notification for the group, or at `deadline`.
  Awaitable<void> wait_until(GroupName group, TimePoint deadline);
  /// Called when a position of a member of the group was learned, or when a member failed.
  void notify(const GroupName& group);
  /// Number of reads held.
  [[nodiscard]] std::size_t waiting() const { return waiting_; }

 private:
  runtime::Runtime& runtime_;
  std::map<GroupName, std::shared_ptr<runtime::Signal>> signals_;
  std::size_t waiting_ = 0;
};

}  // namespace cairnhollow::declared::proxy
