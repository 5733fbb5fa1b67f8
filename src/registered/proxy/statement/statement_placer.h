// Asks where a statement may go (placement/placement.h) with what this proxy knows now, and takes the answer
// over: the proxies that are to run it, or the backend.
#pragma once

#include <memory>
#include <optional>

#include "registered/placement/placement.h"
#include "registered/proxy/session_services.h"
#include "registered/proxy/statement/statement_attempt.h"
#include "registered/proxy/statement/statement_request.h"

namespace cairnhollow::registered::proxy {

/// A read that may not go to the primary waits this long for the primary's position, where none is known: a
/// new connection and an exchange across regions. Chosen, not measured.
inline constexpr Duration kPositionPatience = std::chrono::milliseconds(200);

/// Proxies to which an order may be sent that is bound to regions.
struct PeersInside {
  placement::ProxyList serving;
  placement::ProxyList also_serving;
  placement::ProxyList others;
};

class StatementPlacer {
 public:
  explicit StatementPlacer(SessionServices services) : services_(services) {}

  /// Another proxy that is to run the order, as far as this one knows now. The answer may refer to `inside`.
  std::optional<placement::Forwarding> find_elsewhere(const StatementRequest& order,
                                                      PeersInside& inside) const;
  /// Whether all that could run the order is outside its regions, so that waiting would not help.
  [[nodiscard]] static bool is_shut_out(const StatementRequest& order);
  /// Where the attempt may go now. Takes the backend over that is to run it.
  placement::Placement place(StatementAttempt& attempt) const;
  /// Whether the order, which has waited here, is passed on now that its primary is known: StatementAttempt's
  /// `moved_to` says to whom.
  bool reroute(StatementAttempt& attempt) const;
  /// A read that may not go to the primary has the primary's position asked for, and waits for it where none
  /// is known.
  Awaitable<void> bring_position(std::shared_ptr<StatementAttempt> attempt) const;

 private:
  /// `proxies`, or in `kept` those of them to which the order's text may be sent; none when this proxy is the
  /// first of them.
  const placement::ProxyList* keep_inside(const placement::ProxyList& proxies, const StatementRequest& order,
                                          placement::ProxyList& kept) const;

  SessionServices services_;
};

}  // namespace cairnhollow::registered::proxy
