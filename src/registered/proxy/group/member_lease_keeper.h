// Keeps a proxy serving while no control node answers: asks the members of its groups for the leases
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

/// Members are asked for leases this often, once control's lease has less than the head start left: its
/// renewals come 0.4 to 0.6 s apart (of 1.5 s), so one was missed by then. Three questions fit into one such
/// lease (0.5 s).
inline constexpr Duration kMemberLeaseTick = std::chrono::milliseconds(150);
inline constexpr Duration kMemberLeaseHeadStart = std::chrono::milliseconds(700);
/// Longest wait for all members' answers: half of a member lease is left when they come this late.
inline constexpr Duration kMemberRoundLimit = std::chrono::milliseconds(250);

/// What it refers to outlives it; it lives until the process ends.
class MemberLeaseKeeper {
 public:
  MemberLeaseKeeper(runtime::Runtime& runtime, FleetView& view, SessionMetrics& metrics)
      : runtime_(runtime), view_(view), metrics_(metrics) {}

  void start();
  void stop() { stopping_ = true; }

 private:
  /// One question to all members of a group that may follow its primary.
  struct Round;
  using RoundPointer = std::shared_ptr<Round>;

  Awaitable<void> run();
  /// Whether control's lease is about to end, or has ended not too long ago.
  [[nodiscard]] bool is_needed() const;
  void begin_rounds();
  Awaitable<void> renew(std::shared_ptr<GroupAccess> group);
  Awaitable<void> ask(RoundPointer round, std::shared_ptr<BackendUse> member);
  /// Why the member's answer allows no lease; empty: it allows one.
  static std::string objection_of(const Round& round, BackendUse& member, const BackendStatus& status);
  /// Whether a member that tells its start shows an empty log, or less of this term than it showed before.
  static bool has_lost_log(const Round& round, BackendUse& member, Position received);
  /// Logs why a group is not served, when that is another reason than before.
  void record_refused(const GroupAccess& group, const std::string& why);
  /// Logs which groups began or ceased to be served by such a lease alone.
  void record_changes();

  runtime::Runtime& runtime_;
  FleetView& view_;
  SessionMetrics& metrics_;
  std::set<GroupName> asking_;
  std::set<GroupName> serving_;              ///< by a member lease alone
  std::map<GroupName, std::string> failed_;  ///< why the last round gave no lease
  std::map<GroupName, std::string> told_;    ///< the reason that was logged last
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::proxy
