// What the executors of reads, writes and transactions share: the proxy's state and the sending of one
// statement to one backend.
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

/// Counts a statement as load of a backend for as long as it lives: from before it waits for admission, so
/// that others choose a backend with a shorter queue.
class LoadCount {
 public:
  LoadCount(ProxyState& state, const AttemptTarget& target)
      : load_(state.estimates.load), ordinal_(target.backend->ordinal) {
    load_.statement_started(ordinal_);
  }
  ~LoadCount() { load_.statement_ended(ordinal_); }
  LoadCount(const LoadCount&) = delete;
  LoadCount& operator=(const LoadCount&) = delete;

 private:
  routing::BackendLoadTable& load_;
  std::uint32_t ordinal_;
};

/// Looks the candidate up in the view that the decision was made from.
AttemptTarget make_target(const routing::RoutingView& view, const routing::Decision& decision,
                          const routing::Candidate& candidate);
/// The primary of the group now; empty with kNoPrimary when none is known.
std::optional<AttemptTarget> primary_target(const routing::RoutingView& view, const GroupName& group,
                                            Reason& reason);

/// Acquires a connection to the target. Records a backend that cannot be reached, and suspects it when it
/// is the primary.
Awaitable<std::unique_ptr<ConnectionLease>> acquire(ProxyState& state, AttemptTarget target,
                                                    Priority priority, TimePoint deadline, Reason& reason);

/// The same for work that only the primary of the target's term can do: the wait ends with kNotPrimary as
/// soon as another primary is known.
Awaitable<std::unique_ptr<ConnectionLease>> acquire_at_primary(ProxyState& state, AttemptTarget target,
                                                               Priority priority, TimePoint deadline,
                                                               Reason& reason);

/// The refusal of a statement that could not acquire a connection to the target. For overload it names when
/// the target's queue is likely worked off.
Refused refuse_unacquired(const ProxyState& state, const AttemptTarget& target, Reason reason);

/// Sends one statement, unless the lease has lapsed meanwhile (then Failed, kNotSent, kLeaseExpired).
/// Learns positions, primaries and failures from the answer.
Awaitable<backend::ExecuteAnswer> send(ProxyState& state, AttemptTarget target, ConnectionLease& lease,
                                       backend::Statement statement, backend::Requirements requirements,
                                       Reason& reason);

/// Learns from an answer of the target. `asked_at` is when the question was sent, `reason` why it failed.
void learn_from(ProxyState& state, const AttemptTarget& target, const backend::ExecuteAnswer& answer,
                const Reason& reason, TimePoint asked_at);

}  // namespace cairnhollow::declared::proxy
