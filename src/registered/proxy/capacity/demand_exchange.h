// Reports to the other owners of a backend how many of its slots this proxy needs, and applies their reports.
#pragma once

#include <map>
#include <memory>
#include <utility>

#include "registered/proxy/fleet/fleet_view.h"
#include "registered/proxy/forwarding/forwarder.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::proxy {

/// The referenced objects are not owned and must outlive this object, which lives until the process ends.
/// Nothing is sent while nobody waits, and nobody waits for an answer: without a recent report of another
/// owner, that one counts with its static part.
class DemandExchange {
 public:
  /// `owners`: connections for the conversation wire::Conversation::kBackendRoom.
  DemandExchange(runtime::Runtime& runtime, FleetView& view, Forwarder& owners)
      : runtime_(runtime), view_(view), owners_(owners) {}

  /// To be called before a statement enters the gate. If it will wait there, this proxy's part is worked out
  /// again as soon as it waits, and the other owners are told then and each kDemandInterval, as long as any
  /// statement waits. Each owner is told at most once in kDemandInterval.
  void announce_wait(const std::shared_ptr<GroupAccess>& group, const std::shared_ptr<BackendState>& backend);
  /// Applies the report of another owner.
  void receive(const ForwardDemand& told);

 private:
  using Group = std::shared_ptr<GroupAccess>;
  using Backend = std::shared_ptr<BackendState>;

  /// Keeps this proxy's part up to date until nobody waits and all reports have expired.
  /// Returns the signal that makes it do so at once.
  std::shared_ptr<runtime::Signal> start_following(const Group& group, const Backend& backend);
  Awaitable<void> follow(Group group, Backend backend, std::shared_ptr<runtime::Signal> announced);
  /// Returns whether all got a report; false if one got its last within kDemandInterval.
  bool tell_others(const GroupAccess& group, const Backend& backend);
  /// Returns false if the owner got its last report within kDemandInterval.
  bool start_telling(const GroupName& group, const Backend& backend, const subset::ProxyPointer& owner,
                     bool wants_reply);
  Awaitable<void> tell(GroupName group, Backend backend, subset::ProxyPointer owner, bool wants_reply);

  runtime::Runtime& runtime_;
  FleetView& view_;
  Forwarder& owners_;
  /// The signals for follow(), which keeps the backends alive.
  std::map<const BackendState*, std::shared_ptr<runtime::Signal>> followed_;
  /// When an owner last got a report about a backend, within kDemandInterval.
  std::map<std::pair<BackendName, NodeName>, TimePoint> told_at_;
};

}  // namespace cairnhollow::registered::proxy
