// Keeps a proxy serving while no control node answers, by asking the members of its groups for the leases
// described in registry/member_lease.h.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "registered/proxy/fleet/fleet_view.h"
#include "registered/proxy/session_metrics.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::proxy {

/// Interval between lease queries, and the remaining time of control's lease below which they begin.
/// Control's lease of 1.5 s is renewed every 0.4 to 0.6 s, so that one renewal was missed by then. Three
/// queries fit into one member lease (0.5 s).
inline constexpr Duration kMemberLeaseTick = std::chrono::milliseconds(150);
inline constexpr Duration kMemberLeaseLeadTime = std::chrono::milliseconds(700);
/// Longest wait for the answers of all members; half of a member lease remains when they arrive this late.
inline constexpr Duration kMemberRoundTimeout = std::chrono::milliseconds(250);

/// Must live until the process ends. References are not owned and must outlive this object.
class MemberLeaseRenewer {
 public:
  MemberLeaseRenewer(runtime::Runtime& runtime, FleetView& view, SessionMetrics& metrics)
      : runtime_(runtime), view_(view), metrics_(metrics) {}

  void start();
  void stop() { stopping_ = true; }

 private:
  /// One status query to each member of a group that may follow its primary.
  struct Round;
  using RoundPointer = std::shared_ptr<Round>;

  Awaitable<void> run();
  /// Whether control's lease is about to expire, or expired less than registry::kServeWithoutControl ago.
  [[nodiscard]] bool is_needed() const;
  void begin_rounds();
  Awaitable<void> renew(std::shared_ptr<GroupAccess> group);
  Awaitable<void> query_member(RoundPointer round, std::shared_ptr<BackendState> member);
  /// Returns why the member's answer does not allow a lease; empty if it does.
  static std::string refusal_reason(const Round& round, BackendState& member, const BackendStatus& status);
  /// Whether a member that reports its start time shows an empty log while the primary's is not, or less of
  /// this term than it showed before.
  static bool has_lost_log(const Round& round, BackendState& member, Position received);
  /// Logs why a group is not served, if the reason has changed.
  void record_refused(const GroupAccess& group, const std::string& why);
  /// Logs the groups that began or ceased to be served under a member lease alone.
  void record_changes();

  runtime::Runtime& runtime_;
  FleetView& view_;
  SessionMetrics& metrics_;
  std::set<GroupName> queried_groups_;
  std::set<GroupName> serving_;  ///< under a member lease alone
  /// Why the last round granted no lease; empty if it did.
  std::map<GroupName, std::string> refusal_reasons_;
  std::map<GroupName, std::string> logged_reasons_;  ///< the reason logged last
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::proxy
