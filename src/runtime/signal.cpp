#include "runtime/signal.h"

namespace cairnhollow::runtime {

Awaitable<bool> Signal::wait_until(TimePoint deadline) {
  auto waiter = std::make_shared<Waiter>();
  waiter->timer = runtime_.make_timer();
  waiters_.push_back(waiter);
  co_await waiter->timer->wait_until(deadline);
  if (!waiter->notified) waiters_.remove(waiter);
  co_return waiter->notified;
}

Awaitable<void> Signal::wait() { co_await wait_until(TimePoint::max()); }

void Signal::notify_all() {
  while (!waiters_.empty()) notify_one();
}

void Signal::notify_one() {
  if (waiters_.empty()) return;
  const auto waiter = waiters_.front();
  waiters_.pop_front();
  waiter->notified = true;
  waiter->timer->cancel();
}

}  // namespace cairnhollow::runtime
