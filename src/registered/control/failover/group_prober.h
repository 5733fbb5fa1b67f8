// Queries the status of a group's backends over reused connections, and sends them demote, pause and resume
// requests.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "registered/control/failover/promotion_choice.h"
#include "registered/protocol/backend_link.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::control {

/// Step of the reason with which a member answered that it is too busy to report its status.
inline constexpr const char* kAskStatusStep = "ask_status";

/// Timeout of a backend's status query.
inline constexpr Duration kStatusTimeout = std::chrono::milliseconds(300);

/// Referenced objects are not owned and must outlive this object, which must live until the process exits.
class GroupProber {
 public:
  GroupProber(runtime::Runtime& runtime, BackendDialer& dialer) : runtime_(runtime), dialer_(dialer) {}

  /// Returns std::nullopt if the backend does not answer by `deadline`. `reason` is kOverloaded if it runs
  /// but is busy, or has no room for a connection.
  Awaitable<std::optional<BackendStatus>> query(registry::BackendEntry entry, TimePoint deadline,
                                                Reason& reason);
  /// Makes the backend step down from any term below `term`, then returns as query().
  Awaitable<std::optional<BackendStatus>> demote(registry::BackendEntry entry, std::uint64_t term,
                                                 TimePoint deadline, Reason& reason);
  /// Pauses replication to the backend under `term`, or resumes it, then returns as query().
  Awaitable<std::optional<BackendStatus>> pause(registry::BackendEntry entry, std::uint64_t term,
                                                TimePoint deadline, Reason& reason);
  Awaitable<std::optional<BackendStatus>> resume(registry::BackendEntry entry, TimePoint deadline,
                                                 Reason& reason);
  /// Returns true if a backend with another name answers at the entry's address, false if there is no
  /// definite answer.
  Awaitable<bool> is_address_reused(registry::BackendEntry entry, TimePoint deadline);
  /// Whether the backend has certainly ended: its machine refuses connections at the entry's address, or
  /// another backend answers there. False if there is no definite answer.
  Awaitable<bool> has_ended(registry::BackendEntry entry);
  /// Queries all members concurrently, except those that have ended. Returns when all have answered or timed
  /// out, or as soon as `stop_early` returns true for the findings so far.
  using StopCondition = std::function<bool(const std::vector<MemberFinding>&)>;
  Awaitable<std::vector<MemberFinding>> query_all(std::vector<MemberFinding> members,
                                                  StopCondition stop_early = nullptr);
  Awaitable<std::vector<MemberFinding>> query_all(std::vector<registry::BackendEntry> entries);
  /// Closes the idle connection to the backend, if there is one.
  void close_idle(const BackendName& backend);

 private:
  struct GroupQuery;
  Awaitable<std::optional<BackendStatus>> run(registry::BackendEntry entry, BackendRequest request,
                                              TimePoint deadline, Reason& reason);
  Awaitable<void> query_one(std::shared_ptr<GroupQuery> group_query, std::size_t index);

  runtime::Runtime& runtime_;
  BackendDialer& dialer_;
  struct IdleLink {
    registry::BackendIncarnation incarnation;
    std::shared_ptr<BackendLink> link;
  };
  /// Returns an idle connection to this incarnation of the backend, or null. Closes one to another
  /// incarnation.
  std::shared_ptr<BackendLink> take_idle(const registry::BackendEntry& entry);
  std::map<BackendName, IdleLink> idle_;
};

}  // namespace cairnhollow::registered::control
