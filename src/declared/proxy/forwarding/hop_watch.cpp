#include "declared/proxy/forwarding/hop_watch.h"

#include <algorithm>
#include <vector>

#include "declared/proxy/knobs.h"

namespace cairnhollow::declared::proxy {

HopWatch::Exchange::Exchange(HopWatch& watch, const routing::ForwardTarget& target,
                             runtime::HttpConnection& connection)
    : watch_(watch) {
  const bool is_first = watch_.outstanding_.empty();
  entry_ = watch_.outstanding_.insert(watch_.outstanding_.end(),
                                      OutstandingAnswer{target, &connection, watch_.runtime_.now()});
  if (is_first) watch_.changed_.notify_all();
}

Awaitable<void> HopWatch::run() {
  while (!stopping_) {
    if (outstanding_.empty()) {
      last_checks_.clear();
      co_await changed_.wait();
      continue;
    }
    co_await changed_.wait_until(runtime_.now() + kHopWatchInterval);
    check_overdue_proxies();
  }
}

void HopWatch::stop() {
  stopping_ = true;
  changed_.notify_all();
}

void HopWatch::check_overdue_proxies() {
  const TimePoint now = runtime_.now();
  for (const auto& outstanding : outstanding_) {
    if (outstanding.since > now - kHopSuspectTime) break;
    auto [last_check, is_new] = last_checks_.try_emplace(outstanding.target.proxy, now);
    if (!is_new && last_check->second > now - kHopSuspectTime - kHopHealthLimit) continue;
    last_check->second = now;
    runtime_.spawn("ask_hop_health", check_health(outstanding.target));
  }
}

Awaitable<void> HopWatch::check_health(routing::ForwardTarget target) {
  const TimePoint asked_at = runtime_.now();
  const bool healthy = co_await is_healthy(target);
  if (healthy || stopping_) co_return;
  std::vector<runtime::HttpConnection*> unanswered;
  for (const auto& outstanding : outstanding_) {
    if (outstanding.target.proxy == target.proxy && outstanding.since <= asked_at)
      unanswered.push_back(outstanding.connection);
  }
  if (unanswered.empty()) co_return;
  on_unresponsive_(target);
  // Closing resumes no coroutine immediately: the exchanges end when their coroutines are next scheduled.
  for (auto* connection : unanswered) connection->close();
}

Awaitable<bool> HopWatch::is_healthy(routing::ForwardTarget target) {
  const TimePoint deadline = runtime_.now() + kHopHealthLimit;
  Reason reason;
  const auto hop = co_await pool_.acquire(target.endpoint, deadline, reason);
  // A full pool is no evidence about the proxy's health.
  if (!hop) co_return reason.code == ReasonCode::kOverloaded;
  runtime::HttpRequest request;
  request.target = "/healthz";
  auto sent = runtime::SendState::kNotSent;
  const auto response = co_await hop->connection().exchange(std::move(request), deadline, sent, reason);
  co_return response.has_value();
}

}  // namespace cairnhollow::declared::proxy
