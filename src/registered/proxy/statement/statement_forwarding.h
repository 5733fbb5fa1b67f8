// Passes a statement on to other proxies, one after the other, until one of them answers for it.
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

/// A forwarded statement's answer may take this much longer than the statement itself: the way to the other
/// proxy and back, whose round trips are 2 ms between zones and some 25 ms between regions. Chosen, not
/// measured.
inline constexpr Duration kForwardSlack = std::chrono::milliseconds(60);

/// The order as it is sent to another proxy.
ForwardedStatement to_forwarded(const StatementRequest& order, TimePoint now);

enum class ForwardedNext : std::uint8_t {
  kAnswer,    ///< with `result`
  kRunHere,   ///< this proxy is the next that may serve the order
  kRunAgain,  ///< from the start: nobody took it, and this proxy has its lease back
};
struct Forwarded {
  ForwardedNext next = ForwardedNext::kAnswer;
  StatementRequest order;  ///< with what is known since: whether it may have run
  RunResult result;
};

class StatementForwarding {
 public:
  explicit StatementForwarding(SessionServices services) : services_(services), log_(services) {}

  /// `proxies`: first choice first.
  Awaitable<Forwarded> forward(StatementRequest order, std::vector<subset::ProxyPointer> proxies);

 private:
  /// Empty when no connection to the proxy was to be had.
  Awaitable<std::optional<RunResult>> forward_to(StatementRequest order, subset::ProxyPointer proxy,
                                                 bool& may_try_another, Reason& reason);
  /// No proxy took the order: waits for the lease as long as that is worth it.
  Awaitable<placement::Placement> await_lease(std::shared_ptr<GroupAccess> group, TimePoint refuse_at,
                                              bool may_try_another);

  SessionServices services_;
  StatementLog log_;
};

}  // namespace cairnhollow::registered::proxy
