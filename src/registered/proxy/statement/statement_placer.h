// Applies the placement rules (placement/placement.h) to a statement with this proxy's current state, and
// records the chosen backend or proxies.
#pragma once

#include <memory>
#include <optional>

#include "registered/placement/placement.h"
#include "registered/proxy/session_services.h"
#include "registered/proxy/statement/statement_attempt.h"
#include "registered/proxy/statement/statement_request.h"

namespace cairnhollow::registered::proxy {

/// How long a read that may not run at the primary waits for the primary's position if none is known. Allows
/// for a new connection and one exchange across regions.
inline constexpr Duration kPositionWaitLimit = std::chrono::milliseconds(200);

/// The proxies in the regions that are permitted for a request; keeps the lists alive that a Forwarding
/// refers to.
struct PermittedProxies {
  placement::ProxyList serving;
  placement::ProxyList also_serving;
  placement::ProxyList others;
};

class StatementPlacer {
 public:
  explicit StatementPlacer(SessionServices services) : services_(services) {}

  /// The proxies that are to run the request instead of this one; std::nullopt if it is to be run here. The
  /// result may point into `permitted`, which must outlive it.
  std::optional<placement::Forwarding> find_forwarding(const StatementRequest& request,
                                                       PermittedProxies& permitted) const;
  /// Whether all backends that could run the request are outside its permitted regions, so that waiting would
  /// not help.
  [[nodiscard]] static bool lacks_permitted_backend(const StatementRequest& request);
  /// Decides where the attempt may run now. For kRun, records the backend in the attempt.
  placement::Placement place(StatementAttempt& attempt) const;
  /// Whether a request that has waited here is forwarded now that its primary is known. If so, sets the
  /// attempt's `reroute_targets` to the proxies.
  bool reroute(StatementAttempt& attempt) const;
  /// For a read that may not run at the primary: requests the primary's position if it is too old, and waits
  /// for it up to kPositionWaitLimit if none is known.
  Awaitable<void> await_primary_position(std::shared_ptr<StatementAttempt> attempt) const;

 private:
  /// Returns `proxies` if the request is not bound to regions. Otherwise fills `permitted` with those in
  /// permitted regions and returns it; empty if this proxy is the first of them.
  const placement::ProxyList* filter_permitted(const placement::ProxyList& proxies,
                                               const StatementRequest& request,
                                               placement::ProxyList& permitted) const;

  SessionServices services_;
};

}  // namespace cairnhollow::registered::proxy
