// Forwards a statement to other proxies, one after the other, until one of them gives a final answer.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "registered/placement/placement.h"
#include "registered/proxy/forwarding/forward_messages.h"
#include "registered/proxy/session_services.h"
#include "registered/proxy/statement/statement_log.h"
#include "registered/proxy/statement/statement_request.h"

namespace cairnhollow::registered::proxy {

/// Added to a forwarded statement's deadline for the network round trip to the other proxy, possibly in
/// another region.
/// Round trips take 2 ms between zones and some 25 ms between regions.
inline constexpr Duration kForwardSlack = std::chrono::milliseconds(60);

/// Converts a request to the message that is sent to another proxy. `now`: the sending time; deadlines are
/// sent as remaining time.
ForwardedStatement to_forwarded(const StatementRequest& request, TimePoint now);

enum class ForwardingNextStep : std::uint8_t {
  kAnswer,     ///< answer the caller with `result`
  kRunHere,    ///< this proxy is next in the preference order: run it here
  kStartOver,  ///< start over: no proxy accepted it, and this proxy has its lease back or has paused
};
struct ForwardingResult {
  ForwardingNextStep next = ForwardingNextStep::kAnswer;
  StatementRequest request;  ///< with `may_have_run` updated
  RunResult result;
};

class StatementForwarding {
 public:
  explicit StatementForwarding(SessionServices services) : services_(services), log_(services) {}

  /// `proxies`: in order of preference. Tries at most kMaxForwards of them.
  Awaitable<ForwardingResult> forward(StatementRequest request, std::vector<subset::ProxyPointer> proxies);

 private:
  /// Returns std::nullopt if no connection to the proxy could be opened. Sets `may_try_another` to whether
  /// another proxy may still be tried.
  Awaitable<std::optional<RunResult>> forward_to(StatementRequest request, subset::ProxyPointer proxy,
                                                 bool& may_try_another, Reason& reason);
  /// After no proxy accepted the request in this and earlier rounds: waits for this proxy's lease
  /// while one is expected, or pauses until the others can be asked again, while the budget lasts.
  Awaitable<placement::Placement> await_proxy(StatementRequest request, bool may_try_another);

  SessionServices services_;
  StatementLog log_;
};

}  // namespace cairnhollow::registered::proxy
