// Pool of connections to other proxies. A connection carries one exchange at a time, or one transaction.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::declared::proxy {

class HopPool {
 public:
  struct Peer;

  /// A connection in use. On destruction it returns to the pool unless it is closed.
  class Hop {
   public:
    Hop(runtime::Runtime& runtime, std::shared_ptr<Peer> peer,
        std::shared_ptr<runtime::HttpConnection> connection);
    ~Hop();
    Hop(const Hop&) = delete;
    Hop& operator=(const Hop&) = delete;
    runtime::HttpConnection& connection() { return *connection_; }

   private:
    runtime::Runtime& runtime_;
    std::shared_ptr<Peer> peer_;
    std::shared_ptr<runtime::HttpConnection> connection_;
  };
  using HopPointer = std::unique_ptr<Hop>;

  /// `runtime` is not owned and must outlive the pool. The pool must outlive its hops.
  explicit HopPool(runtime::Runtime& runtime) : runtime_(runtime) {}

  /// Returns null on failure: kOverloaded if kHopConnections to the proxy stay in use until `deadline`,
  /// otherwise the transport's reason, such as kUnreachable.
  Awaitable<HopPointer> acquire(Endpoint endpoint, TimePoint deadline, Reason& reason);
  /// Closes the idle connections to the proxy after a failure, because they would fail as well.
  void close_idle(const Endpoint& endpoint);
  /// Closes connections idle for kHopIdleTime; called periodically.
  void drop_idle();
  [[nodiscard]] std::size_t connections() const;

 private:
  Awaitable<bool> wait_for_capacity(std::shared_ptr<Peer> peer, TimePoint deadline, Reason& reason);

  runtime::Runtime& runtime_;
  std::map<Endpoint, std::shared_ptr<Peer>> peers_;  ///< those with a connection or a waiting caller
};

struct HopPool::Peer {
  explicit Peer(runtime::Runtime& runtime) : released(runtime) {}
  struct Idle {
    std::shared_ptr<runtime::HttpConnection> connection;
    TimePoint since;
  };
  std::vector<Idle> idle;  ///< most recently used last
  std::size_t in_use = 0;
  runtime::Signal released;
};

}  // namespace cairnhollow::declared::proxy
