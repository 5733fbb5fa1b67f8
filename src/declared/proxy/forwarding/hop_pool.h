// Kept connections to other proxies. One connection carries one exchange at a time, or one transaction.
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

  /// A connection in use. On destruction it is kept for the next, unless it is closed.
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

  /// `runtime` outlives the pool, and the pool its hops.
  explicit HopPool(runtime::Runtime& runtime) : runtime_(runtime) {}

  /// Null on failure: kUnreachable or what else the transport says, kOverloaded when kHopConnections to the
  /// proxy are in use until `deadline`.
  Awaitable<HopPointer> acquire(Endpoint endpoint, TimePoint deadline, Reason& reason);
  /// After a failure: the idle connections to the proxy go the same way.
  void close_idle(const Endpoint& endpoint);
  /// Closes what has been idle for kHopIdleTime. Called every now and then.
  void drop_idle();
  [[nodiscard]] std::size_t connections() const;

 private:
  Awaitable<bool> wait_for_room(std::shared_ptr<Peer> peer, TimePoint deadline, Reason& reason);

  runtime::Runtime& runtime_;
  std::map<Endpoint, std::shared_ptr<Peer>> peers_;  ///< with a connection, or someone who waits for one
};

struct HopPool::Peer {
  explicit Peer(runtime::Runtime& runtime) : released(runtime) {}
  struct Idle {
    std::shared_ptr<runtime::HttpConnection> connection;
    TimePoint since;
  };
  std::vector<Idle> idle;  ///< the last used last
  std::size_t in_use = 0;
  runtime::Signal released;
};

}  // namespace cairnhollow::declared::proxy
