#include "declared/proxy/domain/position_signals.h"

namespace cairnhollow::declared::proxy {

Awaitable<void> PositionSignals::wait_until(GroupName group, TimePoint deadline) {
  auto& entry = signals_[group];
  if (!entry) entry = std::make_shared<runtime::Signal>(runtime_);
  const auto signal = entry;
  ++waiting_;
  co_await signal->wait_until(deadline);
  --waiting_;
  const auto found = signals_.find(group);
  const bool is_idle = found != signals_.end() && found->second == signal && signal->waiting() == 0;
  if (is_idle) signals_.erase(found);
}

void PositionSignals::notify(const GroupName& group) {
  const auto found = signals_.find(group);
  if (found != signals_.end()) found->second->notify_all();
}

}  // namespace cairnhollow::declared::proxy
