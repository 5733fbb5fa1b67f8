// A proxy's conversation with the leader of the control nodes: leases, changes, answers to closes.
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

/// A lease is asked for this often.
inline constexpr Duration kReportInterval = std::chrono::milliseconds(400);
/// The same primary is not reported again within this time.
inline constexpr Duration kSuspicionRepeat = std::chrono::milliseconds(300);

/// Why a primary is suspected.
enum class SuspicionKind : std::uint8_t {
  kSilent,        ///< a statement has no answer
  kCommitsStall,  ///< only commits have none
  kUnreachable,   ///< no connection to it can be opened, or it breaks off all that it is sent
};

/// What it refers to outlives it; it lives until the process ends.
class FleetLink {
 public:
  FleetLink(runtime::Runtime& runtime, const SessionProxySettings& settings, FleetView& view);

  void start();
  void stop();
  /// Tells that this proxy takes no new work from others.
  void set_draining();
  /// Where the control node that is followed takes registrations; empty while none is.
  [[nodiscard]] std::optional<Endpoint> registration_endpoint() const;
  /// A report is sent at once: something must be confirmed that is newer than the last one.
  void ask_now();
  /// Told with the next report, which is sent at once. Repeats within kSuspicionRepeat are dropped.
  void report_suspicion(const GroupAccess& group, SuspicionKind kind);

 private:
  using ConversationPointer = std::shared_ptr<ControlConversation>;

  Awaitable<void> run();
  /// The control nodes to ask for the leader, the likeliest first.
  [[nodiscard]] std::vector<Endpoint> candidates();
  /// Reports until the conversation breaks.
  Awaitable<void> converse(ConversationPointer conversation);
  /// Until the next report is due or wanted, or the conversation is over.
  Awaitable<void> wait_for_next_report(ConversationPointer conversation);
  Awaitable<void> read_updates(ConversationPointer conversation);
  registry::ProxyReport make_report();
  void take_update(ControlConversation& conversation, const registry::ProxyUpdate& update);
  void take_refusal(ControlConversation& conversation, const Reason& refusal);
  /// `bytes`: of the delta on its way.
  void take_delta(const registry::FleetDelta& delta, std::size_t bytes);
  void mark_lost(const Reason& reason, const std::string& peer);

  runtime::Runtime& runtime_;
  SessionProxySettings settings_;
  FleetView& view_;
  LeaderSearch search_;
  runtime::Signal wake_;
  std::vector<Endpoint> endpoints_;  ///< told by the leader, then the seeds
  std::optional<Endpoint> hinted_leader_;
  std::uint64_t incarnation_;
  std::uint64_t next_nonce_ = 1;
  Duration report_interval_ = kReportInterval;
  std::vector<registry::PrimarySuspicion> suspicions_;
  std::map<std::pair<GroupName, SuspicionKind>, TimePoint> suspected_at_;
  bool report_now_ = false;
  bool connected_ = false;
  std::string followed_;  ///< address of the control node that answered last
  bool draining_ = false;
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::proxy
