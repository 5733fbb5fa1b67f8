// Connections to one backend that are kept to be used again. Connections are opened ahead of need, so that
// the opening delay is not on a statement's way as long as the pool keeps up.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "declared/backend/backend_connection.h"
#include "declared/backend/pool_share.h"
#include "runtime/runtime.h"

namespace cairnhollow::declared::backend {

/// Counters since the start, and what is held now.
struct PoolStatistics {
  std::uint32_t in_use = 0;
  std::uint32_t idle = 0;
  std::uint32_t opening = 0;
  std::uint64_t opened = 0;
  std::uint64_t open_failures = 0;
  std::uint64_t refused_by_backend = 0;  ///< openings refused because the backend's limit was reached
  std::uint64_t broken = 0;              ///< connections that came back closed
  std::uint64_t closed_idle = 0;
};

/// Holds (in use, idle and being opened) no more than the share. `runtime` and `connector` outlive it, and
/// it lives until the process ends.
class ConnectionPool {
 public:
  ConnectionPool(runtime::Runtime& runtime, BackendConnector& connector, BackendName backend);

  /// Where the backend is and what it offers. Idle connections to another endpoint are closed.
  void set_backend(const Endpoint& endpoint, const BackendCapacity& capacity);
  /// Closes the idle connections: they may be dead without a sign of it.
  void drop_idle();
  /// No connection is kept or opened ahead of need any more (the backend leaves).
  void retire() { warm_ = 0; }
  /// Other proxies need the connections: idle ones are closed at once.
  void release();

  /// An idle connection, the one used last; null when there is none.
  std::shared_ptr<BackendConnection> take();
  /// Returns what take() gave. A closed one is forgotten, one too many is closed.
  void give_back(std::shared_ptr<BackendConnection> connection);
  /// Opens what `waiting` statements and the coming ones need; closes what is idle for too long.
  void maintain(std::size_t waiting);

  /// Called when an idle connection has become available.
  void on_available(std::function<void()> callback) { on_available_ = std::move(callback); }
  /// Called when an opening failed and the pool holds no connection that could come back.
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
  [[nodiscard]] std::uint32_t wanted(std::size_t waiting) const;
  void count_idle() { statistics_.idle = static_cast<std::uint32_t>(idle_.size()); }

  runtime::Runtime& runtime_;
  BackendConnector& connector_;
  BackendName backend_;
  Endpoint endpoint_;
  std::uint32_t share_ = 0;
  std::uint32_t warm_ = 0;
  std::vector<IdleConnection> idle_;  ///< the one used last at the end
  PoolStatistics statistics_;
  std::uint32_t broken_in_a_row_ = 0;
  std::uint32_t failures_in_a_row_ = 0;
  TimePoint open_not_before_{};        ///< after the backend refused one more
  TimePoint open_ahead_not_before_{};  ///< after failures; a waiting statement tries all the same
  std::uint64_t endpoint_generation_ = 0;
  std::function<void()> on_available_;
  std::function<void(const Reason&)> on_unreachable_;
};

}  // namespace cairnhollow::declared::backend
