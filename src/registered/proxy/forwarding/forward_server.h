// Runs statements forwarded by other proxies, under this proxy's own lease and on its own backend links.
#pragma once

#include <map>
#include <memory>

#include "registered/proxy/forwarding/forward_messages.h"
#include "registered/proxy/statement/statement_runner.h"
#include "runtime/network.h"

namespace cairnhollow::registered::proxy {

/// How long a forwarded statement waits for the document that the forwarding proxy holds already. Control
/// sends an update to all proxies at once.
inline constexpr Duration kDocumentWait = std::chrono::milliseconds(30);

/// The referenced services are not owned and must outlive this object, which lives until the process ends.
class ForwardServer {
 public:
  explicit ForwardServer(SessionServices services) : services_(services), runner_(services) {}

  /// Returns false with `reason` set if the endpoint can't be bound.
  bool start(const Endpoint& endpoint, Reason& reason);
  void stop();
  /// Aborts forwarded transactions in zones that evacuation has made off limits, unless a statement is
  /// running.
  void abort_evacuated_transactions();

 private:
  /// An open transaction. At most one of its statements runs at a time.
  struct Pin {
    PinnedLink link;
    bool running = false;
    bool ended = false;  ///< ended while a statement was running; the running coroutine releases the link
  };
  /// A connection from another proxy and the transactions opened over it.
  struct Connection {
    std::shared_ptr<runtime::FrameConnection> frames;
    std::map<std::uint64_t, std::shared_ptr<Pin>> pins;
    std::uint64_t next_pin = 1;
    std::vector<std::string> outgoing;
    bool sending = false;
    bool ended = false;
  };

  Awaitable<void> accept();
  Awaitable<void> serve(std::shared_ptr<runtime::FrameConnection> frames);
  Awaitable<void> handle(std::shared_ptr<Connection> connection, ForwardRequest request);
  Awaitable<ForwardAnswer> run(std::shared_ptr<Connection> connection, ForwardRun request);
  Awaitable<ForwardAnswer> run_in_transaction(std::shared_ptr<Connection> connection,
                                              ForwardInTransaction request);
  Awaitable<void> end_transaction(std::shared_ptr<Connection> connection, std::uint64_t pin);
  /// Grants tokens if this proxy owns the quota of the requested tenant or cold backend.
  limits::Grant grant(const ForwardTokens& request);
  Awaitable<void> send_answers(std::shared_ptr<Connection> connection);
  /// Invariant: a statement runs under one document, which is no older than the one that the forwarding proxy
  /// holds. Whether this proxy's may be older.
  [[nodiscard]] bool may_hold_older_document(const ForwardedStatement& forwarded) const;
  /// Returns why the statement must not run here; an empty string if it may.
  [[nodiscard]] std::string reason_not_to_run(const ForwardedStatement& forwarded,
                                              const std::optional<StatementScope>& scope) const;
  /// Returns once this proxy holds the document of the forwarding proxy, or after kDocumentWait.
  Awaitable<void> await_document(const ForwardedStatement& forwarded);
  /// The scope of a statement according to this proxy's document, as the forwarding proxy's may be older.
  /// Returns std::nullopt if this proxy does not know the database or its group, or no tenant with the
  /// caller's key.
  std::optional<StatementScope> scope_of(const ForwardedStatement& forwarded);
  /// The statement itself. `route`: that of its scope.
  StatementContent content_of(ForwardedStatement forwarded, const registry::RouteRule& route);

  SessionServices services_;
  StatementRunner runner_;
  std::vector<std::weak_ptr<Connection>> connections_;
  std::unique_ptr<runtime::FrameListener> listener_;
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::proxy
