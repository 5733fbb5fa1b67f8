// Pool of reusable connections to one backend. Opens connections ahead of need, so that statements do not
// wait for the opening delay while the pool keeps up.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "declared/backend/backend_connection.h"
#include "declared/backend/pool_share.h"
#include "runtime/runtime.h"

namespace cairnhollow::declared::backend {

/// Counters since the start, and current values.
struct PoolStatistics {
  std::uint32_t in_use = 0;
  std::uint32_t idle = 0;
  std::uint32_t opening = 0;
  std::uint64_t opened = 0;
  std::uint64_t open_failures = 0;
  std::uint64_t refused_by_backend = 0;  ///< not opened: the backend's connection limit was reached
  std::uint64_t broken = 0;              ///< connections returned closed
  std::uint64_t closed_idle = 0;
};

/// Holds at most the proxy's share of connections (in use, idle and being opened). `runtime` and `connector`
/// are not owned and must outlive this object, which lives until the process ends.
class ConnectionPool {
 public:
  ConnectionPool(runtime::Runtime& runtime, BackendConnector& connector, BackendName backend);

  /// Sets the backend's endpoint and capacity. Closes idle connections if the endpoint changed.
  void set_backend(const Endpoint& endpoint, const BackendCapacity& capacity);
  /// Closes the idle connections, which may be broken although they look open.
  void drop_idle();
  /// Stops keeping connections open ahead of need, because the backend is leaving.
  void retire() { warm_ = 0; }
  /// Same as retire(), and closes idle connections at once so that other proxies can open theirs.
  void release();

  /// Takes the most recently used idle connection. Returns null if there is none.
  std::shared_ptr<BackendConnection> take();
  /// Returns a connection obtained from take(). A closed one is discarded, one beyond the share is closed.
  void return_connection(std::shared_ptr<BackendConnection> connection);
  /// Opens connections for the `waiting` statements and for expected ones; closes connections that have been
  /// idle for too long.
  void maintain(std::size_t waiting);

  /// Called when a new connection has become available.
  void on_available(std::function<void()> callback) { on_available_ = std::move(callback); }
  /// Called when opening failed and the pool holds no other connection that could become available.
  void on_unreachable(std::function<void(const Reason&)> callback) { on_unreachable_ = std::move(callback); }

  [[nodiscard]] std::uint32_t share() const { return share_; }
  [[nodiscard]] std::uint32_t held() const;
  [[nodiscard]] const PoolStatistics& statistics() const { return statistics_; }

 private:
  struct IdleConnection {
    std::shared_ptr<BackendConnection> connection;
    TimePoint since;
  };

  Awaitable<void> open_one();
  void opening_failed(const Reason& reason);
  void close_idle();
  void drop_broken();
  [[nodiscard]] std::uint32_t target_connections(std::size_t waiting) const;
  void update_idle_count() { statistics_.idle = static_cast<std::uint32_t>(idle_.size()); }

  runtime::Runtime& runtime_;
  BackendConnector& connector_;
  BackendName backend_;
  Endpoint endpoint_;
  std::uint32_t share_ = 0;
  std::uint32_t warm_ = 0;
  std::vector<IdleConnection> idle_;  ///< the most recently used at the end
  PoolStatistics statistics_;
  std::uint32_t consecutive_broken_ = 0;
  std::uint32_t consecutive_failures_ = 0;
  TimePoint open_not_before_{};        ///< after the backend refused a connection
  TimePoint open_ahead_not_before_{};  ///< after failures; does not apply to waiting statements
  std::uint64_t endpoint_generation_ = 0;
  std::function<void()> on_available_;
  std::function<void(const Reason&)> on_unreachable_;
};

}  // namespace cairnhollow::declared::backend
