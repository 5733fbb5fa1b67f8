// Runs statements that other proxies forward, under this proxy's own lease and links.
#pragma once

#include <map>
#include <memory>

#include "registered/proxy/forwarding/forward_messages.h"
#include "registered/proxy/statement/statement_runner.h"
#include "runtime/network.h"

namespace cairnhollow::registered::proxy {

/// What it refers to outlives it; it lives until the process ends.
class ForwardServer {
 public:
  explicit ForwardServer(SessionServices services) : services_(services), runner_(services) {}

  /// False when the endpoint can't be bound.
  bool start(const Endpoint& endpoint, Reason& reason);
  void stop();
  /// Gives up what other proxies' callers have open in zones that are left.
  void end_evacuated_transactions();

 private:
  /// One open transaction. At most one statement of it runs at a time.
  struct Pin {
    PinnedLink link;
    bool running = false;
    bool ended = false;  ///< while a statement of it ran: who runs it ends it
  };
  /// One connection and the transactions that are open over it.
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
  /// Tokens of a tenant whose quota this proxy may own.
  limits::Grant grant(const ForwardTokens& request);
  Awaitable<void> send_answers(std::shared_ptr<Connection> connection);
  /// Empty when this proxy knows no such group, or no tenant of the caller's key.
  std::optional<StatementRequest> to_order(ForwardedOrder order);

  SessionServices services_;
  StatementRunner runner_;
  std::vector<std::weak_ptr<Connection>> connections_;
  std::unique_ptr<runtime::FrameListener> listener_;
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::proxy
