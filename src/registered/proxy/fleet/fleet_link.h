// A proxy's connection to the leader of the control nodes: renews leases, receives fleet changes and
// acknowledges closed groups.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "registered/proxy/fleet/control_conversation.h"
#include "registered/proxy/fleet/fleet_view.h"
#include "registered/proxy/fleet/leader_search.h"
#include "registered/proxy/settings.h"
#include "registered/registry/messages.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::proxy {

/// Interval between lease requests, unless the leader sets another one.
inline constexpr Duration kReportInterval = std::chrono::milliseconds(400);
/// A suspicion of the same group and kind is not reported again within this time.
inline constexpr Duration kSuspicionRepeatInterval = std::chrono::milliseconds(300);

/// Why a primary is suspected.
enum class SuspicionKind : std::uint8_t {
  kSilent,        ///< a statement got no answer, or the primary reported that it lost its role or its log
  kCommitsStall,  ///< only commits were not answered in time
  kUnreachable,   ///< no connection to it can be opened, or every connection breaks once something is sent
};

/// `runtime` and `view` are not owned and must outlive this object, which lives until the process ends.
class FleetLink {
 public:
  FleetLink(runtime::Runtime& runtime, const SessionProxySettings& settings, FleetView& view);

  void start();
  void stop();
  /// Reports to control that this proxy takes no new work from other proxies.
  void set_draining();
  /// The followed leader's endpoint for backend registrations. Returns std::nullopt while no leader is
  /// followed or this proxy drains.
  [[nodiscard]] std::optional<Endpoint> registration_endpoint() const;
  /// Sends a report immediately. For callers that need a confirmation of something newer than the last
  /// report.
  void request_report();
  /// Adds the suspicion to the next report, which is sent immediately. Repeats within
  /// kSuspicionRepeatInterval are dropped.
  void report_suspicion(const GroupAccess& group, SuspicionKind kind);

 private:
  using ConversationPointer = std::shared_ptr<ControlConversation>;

  Awaitable<void> run();
  /// The control nodes to ask for the leader, most likely one first.
  [[nodiscard]] std::vector<Endpoint> candidates();
  /// Sends reports until the conversation breaks or this object is stopped.
  Awaitable<void> send_reports(ConversationPointer conversation);
  /// Waits until the next report is due or was requested, or the conversation has broken or stalled.
  Awaitable<void> wait_for_next_report(ConversationPointer conversation);
  Awaitable<void> read_updates(ConversationPointer conversation);
  registry::ProxyReport make_report();
  void handle_update(ControlConversation& conversation, const registry::ProxyUpdate& update);
  void handle_refusal(ControlConversation& conversation, const Reason& refusal);
  /// `bytes`: encoded size of the delta as it was received.
  void apply_delta(const registry::FleetDelta& delta, std::size_t bytes);
  void mark_disconnected(const Reason& reason, const std::string& peer);

  runtime::Runtime& runtime_;
  SessionProxySettings settings_;
  FleetView& view_;
  LeaderSearch search_;
  runtime::Signal wake_;
  std::vector<Endpoint> endpoints_;  ///< endpoints announced by the leader, then the seeds
  std::optional<Endpoint> hinted_leader_;
  std::uint64_t incarnation_;
  std::uint64_t next_nonce_ = 1;
  Duration report_interval_ = kReportInterval;
  std::vector<registry::PrimarySuspicion> suspicions_;
  /// What the followed leader was last told that this proxy has certainly acknowledged.
  std::map<GroupName, Position> reported_positions_;
  std::map<std::pair<GroupName, SuspicionKind>, TimePoint> suspected_at_;
  bool report_requested_ = false;
  bool connected_ = false;
  std::string leader_address_;  ///< address of the leader that is followed, or was followed last
  bool draining_ = false;
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::proxy
