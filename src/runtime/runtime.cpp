#include "runtime/runtime.h"

namespace cairnhollow::runtime {

Awaitable<void> Runtime::sleep_for(Duration delay) {
  const auto timer = make_timer();
  co_await timer->wait_until(now() + delay);
}

}  // namespace cairnhollow::runtime
