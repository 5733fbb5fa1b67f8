#include "simulation/caller_role.h"

namespace cairnhollow::simulation {

Awaitable<bool> CallerRole::start(Reason& /*reason*/) {
  runtime_.spawn("callers", run());
  co_return true;
}

Awaitable<void> CallerRole::drain() { co_return; }

Awaitable<void> CallerRole::run() {
  co_await generator_.run();
  finished_ = true;
}

void CallerRole::settle(Duration limit) { runtime_.spawn("final_records", read_final_records(limit)); }

Awaitable<void> CallerRole::read_final_records(Duration limit) {
  Reason reason;
  const bool read = co_await generator_.read_final_records(limit, reason);
  if (!read) settle_failure_ = reason;
  settled_ = true;
}

}  // namespace cairnhollow::simulation
