#include "declared/proxy/forwarding/hop_watch.h"

#include <algorithm>
#include <vector>

#include "declared/proxy/knobs.h"

namespace cairnhollow::declared::proxy {

HopWatch::Exchange::Exchange(HopWatch& watch, const routing::ForwardTarget& target,
                             runtime::HttpConnection& connection)
    : watch_(watch) {
  const bool is_first = watch_.owed_.empty();
  place_ = watch_.owed_.insert(watch_.owed_.end(), Owed{target, &connection, watch_.runtime_.now()});
  if (is_first) watch_.changed_.notify_all();
}

Awaitable<void> HopWatch::run() {
  while (!stopping_) {
    if (owed_.empty()) {
      asked_.clear();
      co_await changed_.wait();
      continue;
    }
    co_await changed_.wait_until(runtime_.now() + kHopWatchInterval);
    ask_the_late();
  }
}

void HopWatch::stop() {
  stopping_ = true;
  changed_.notify_all();
}

void HopWatch::ask_the_late() {
  const TimePoint now = runtime_.now();
  for (const auto& owed : owed_) {
    if (owed.since > now - kHopSuspectTime) break;
    auto [asked, is_new] = asked_.try_emplace(owed.target.proxy, now);
    if (!is_new && asked->second > now - kHopSuspectTime - kHopHealthLimit) continue;
    asked->second = now;
    runtime_.spawn("ask_hop_health", ask(owed.target));
  }
}

Awaitable<void> HopWatch::ask(routing::ForwardTarget target) {
  const TimePoint asked_at = runtime_.now();
  const bool healthy = co_await is_healthy(target);
  if (healthy || stopping_) co_return;
  std::vector<runtime::HttpConnection*> silent;
  for (const auto& owed : owed_) {
    if (owed.target.proxy == target.proxy && owed.since <= asked_at) silent.push_back(owed.connection);
  }
  if (silent.empty()) co_return;
  on_silent_(target);
  // Closing resumes no coroutine immediately: the exchanges end when their coroutines are next scheduled.
  for (auto* connection : silent) connection->close();
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
