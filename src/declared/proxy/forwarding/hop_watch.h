// Detects proxies that have stopped answering (frozen, partitioned) before the calls forwarded to them time
// out. A proxy with an answer outstanding for too long is sent a health check; if that is not answered
// either, its outstanding connections are closed. Does no work while nothing is forwarded.
#pragma once

#include <functional>
#include <list>
#include <map>

#include "declared/proxy/forwarding/hop_pool.h"
#include "declared/routing/decision.h"

namespace cairnhollow::declared::proxy {

class HopWatch {
 public:
  /// Called when a proxy is found unresponsive, before its connections are closed.
  using OnUnresponsive = std::function<void(const routing::ForwardTarget&)>;

  /// `runtime` and `pool` are not owned and must outlive this object, which lives until the process ends.
  HopWatch(runtime::Runtime& runtime, HopPool& pool, OnUnresponsive on_unresponsive)
      : runtime_(runtime), pool_(pool), on_unresponsive_(std::move(on_unresponsive)), changed_(runtime) {}

 private:
  struct OutstandingAnswer {
    routing::ForwardTarget target;
    runtime::HttpConnection* connection = nullptr;
    TimePoint since;
  };

 public:
  /// An exchange, monitored for the lifetime of this object. The connection must outlive it.
  class Exchange {
   public:
    Exchange(HopWatch& watch, const routing::ForwardTarget& target, runtime::HttpConnection& connection);
    ~Exchange() { watch_.outstanding_.erase(entry_); }
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

   private:
    HopWatch& watch_;
    std::list<OutstandingAnswer>::iterator entry_;
  };

  /// Runs until stop().
  Awaitable<void> run();
  void stop();

 private:
  /// Sends a health check to each proxy with an answer outstanding for kHopSuspectTime, unless one was
  /// sent within kHopSuspectTime + kHopHealthLimit.
  void check_overdue_proxies();
  Awaitable<void> check_health(routing::ForwardTarget target);
  Awaitable<bool> is_healthy(routing::ForwardTarget target);

  runtime::Runtime& runtime_;
  HopPool& pool_;
  OnUnresponsive on_unresponsive_;
  std::list<OutstandingAnswer> outstanding_;   ///< oldest first
  std::map<NodeName, TimePoint> last_checks_;  ///< last health check of proxies with outstanding answers
  runtime::Signal changed_;
  bool stopping_ = false;
};

}  // namespace cairnhollow::declared::proxy
