// State and functions shared by the executors of reads, writes and transactions: the proxy's state, and
// sending one statement to one backend.
#pragma once

#include <memory>

#include "declared/proxy/domain/group_activity.h"
#include "declared/proxy/domain/position_signals.h"
#include "declared/proxy/domain/serving_state.h"
#include "declared/proxy/settings.h"
#include "declared/proxy/statement/backend_access.h"
#include "declared/proxy/statement/statement.h"

namespace cairnhollow::declared::proxy {

/// Lives as long as the proxy.
struct ProxyState {
  runtime::Runtime& runtime;
  const ProxySettings& settings;
  ServingState& serving;
  BackendAccess& access;
  routing::BackendEstimates& estimates;
  GroupActivity& activity;
  PositionSignals& positions;
};

/// The target of one attempt.
struct AttemptTarget : BackendTarget {
  std::uint64_t term = 0;
  bool is_primary = false;

  [[nodiscard]] const GroupName& group_name() const { return group->name; }
  [[nodiscard]] const GroupName& session_group() const { return group->session_name; }
  [[nodiscard]] const BackendName& backend_name() const { return backend->name; }
};

/// Counts a statement towards a backend's load for the lifetime of this object. Created before the statement
/// waits for admission, so that other statements prefer backends with shorter queues.
class ScopedLoad {
 public:
  ScopedLoad(ProxyState& state, const AttemptTarget& target)
      : load_(state.estimates.load), ordinal_(target.backend->ordinal) {
    load_.statement_started(ordinal_);
  }
  ~ScopedLoad() { load_.statement_ended(ordinal_); }
  ScopedLoad(const ScopedLoad&) = delete;
  ScopedLoad& operator=(const ScopedLoad&) = delete;

 private:
  routing::BackendLoadTable& load_;
  std::uint32_t ordinal_;
};

/// Looks up the candidate in the view that the decision was based on.
AttemptTarget make_target(const routing::RoutingView& view, const routing::Decision& decision,
                          const routing::Candidate& candidate);
/// Returns the group's current primary, or std::nullopt with kNoPrimary if none is known.
std::optional<AttemptTarget> primary_target(const routing::RoutingView& view, const GroupName& group,
                                            Reason& reason);

/// Acquires a connection to the target, or returns null with the reason. Records an unreachable backend as
/// failed and, if it is the primary, reports the primary as suspect.
Awaitable<std::unique_ptr<ConnectionLease>> acquire(ProxyState& state, AttemptTarget target,
                                                    Priority priority, TimePoint deadline, Reason& reason);

/// Like acquire(), for work that only the primary of the target's term can do: the wait ends with kNotPrimary
/// as soon as another primary is known.
Awaitable<std::unique_ptr<ConnectionLease>> acquire_at_primary(ProxyState& state, AttemptTarget target,
                                                               Priority priority, TimePoint deadline,
                                                               Reason& reason);

/// Builds the refusal of a statement that could not acquire a connection to the target. For overload it
/// includes when the target's queue is expected to have drained.
Refused acquire_refusal(const ProxyState& state, const AttemptTarget& target, Reason reason);

/// Sends one statement, unless the lease has expired in the meantime (then Failed, kNotSent, kLeaseExpired).
/// Updates the estimates of positions, primaries and failures from the answer.
Awaitable<backend::ExecuteAnswer> send(ProxyState& state, AttemptTarget target, ConnectionLease& lease,
                                       backend::Statement statement, backend::Requirements requirements,
                                       Reason& reason);

/// Updates the estimates from an answer of the target. `asked_at` is when the request was sent, `reason` why
/// it failed.
void update_estimates(ProxyState& state, const AttemptTarget& target, const backend::ExecuteAnswer& answer,
                      const Reason& reason, TimePoint asked_at);

}  // namespace cairnhollow::declared::proxy
