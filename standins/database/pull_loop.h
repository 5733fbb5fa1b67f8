// A replica's loop: pulls from whom the member follows, on one connection of its own.
#pragma once

#include <memory>

#include "runtime/runtime.h"
#include "runtime/signal.h"
#include "standins/database/database_member.h"

namespace cairnhollow::standins::database {

class PullLoop {
 public:
  /// All arguments outlive the loop, which lives until the process ends.
  PullLoop(runtime::Runtime& runtime, DatabaseMember& member, const Tunables& tunables)
      : runtime_(runtime), member_(member), tunables_(tunables), connecting_changed_(runtime) {}

  /// Returns once the member is stopping.
  Awaitable<void> run();

 private:
  /// An attempt to connect, which ends on its own when nobody waits for it any more.
  struct Connecting {
    std::shared_ptr<runtime::HttpConnection> connection;
    Reason reason;
    bool ended = false;
    bool abandoned = false;
  };

  /// Ends a pull or an attempt to connect under way as soon as another primary is to be followed: a cut link
  /// or a lost machine would hold it for long.
  Awaitable<void> drop_replaced_primary();
  /// One pull; false when it failed and the next one should wait a little.
  Awaitable<bool> pull_once(Reason& reason);
  Awaitable<bool> connect(Endpoint endpoint, Reason& reason);
  Awaitable<void> open(std::shared_ptr<Connecting> connecting, Endpoint endpoint);
  [[nodiscard]] bool is_to_follow(const Endpoint& endpoint) const;
  Awaitable<std::optional<PullAnswer>> exchange(PullRequest request, Reason& reason);

  runtime::Runtime& runtime_;
  DatabaseMember& member_;
  const Tunables& tunables_;
  std::shared_ptr<runtime::HttpConnection> connection_;
  Endpoint connected_to_;
  runtime::Signal connecting_changed_;
};

}  // namespace cairnhollow::standins::database
