// Finds proxies that have stopped answering (frozen, cut off) before the calls forwarded to them run out of
// time: a proxy that owes an answer for a while is asked for its health, and when that is not answered
// either, its hops are closed. Costs nothing while nothing is forwarded.
#pragma once

#include <functional>
#include <list>
#include <map>

#include "declared/proxy/forwarding/hop_pool.h"
#include "declared/routing/decision.h"

namespace cairnhollow::declared::proxy {

class HopWatch {
 public:
  /// Called with a proxy that is found silent, before its hops are closed.
  using OnSilent = std::function<void(const routing::ForwardTarget&)>;

  /// Both outlive the watch, and it lives until the process ends.
  HopWatch(runtime::Runtime& runtime, HopPool& pool, OnSilent on_silent)
      : runtime_(runtime), pool_(pool), on_silent_(std::move(on_silent)), changed_(runtime) {}

 private:
  struct Owed {
    routing::ForwardTarget target;
    runtime::HttpConnection* connection = nullptr;
    TimePoint since;
  };

 public:
  /// One exchange, watched from construction to destruction. The connection outlives it.
  class Exchange {
   public:
    Exchange(HopWatch& watch, const routing::ForwardTarget& target, runtime::HttpConnection& connection);
    ~Exchange() { watch_.owed_.erase(place_); }
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

   private:
    HopWatch& watch_;
    std::list<Owed>::iterator place_;
  };

  /// Watches until stop().
  Awaitable<void> run();
  void stop();

 private:
  /// Asks each proxy that has owed an answer for kHopSuspectTime, unless it told its health since.
  void ask_the_late();
  Awaitable<void> ask(routing::ForwardTarget target);
  Awaitable<bool> is_healthy(routing::ForwardTarget target);

  runtime::Runtime& runtime_;
  HopPool& pool_;
  OnSilent on_silent_;
  std::list<Owed> owed_;                 ///< oldest first
  std::map<NodeName, TimePoint> asked_;  ///< of the proxies that owe an answer: when they were asked last
  runtime::Signal changed_;
  bool stopping_ = false;
};

}  // namespace cairnhollow::declared::proxy
