// Tells the other owners of a backend how many of its slots this proxy needs, and applies what they tell.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <utility>

#include "registered/proxy/fleet/fleet_view.h"
#include "registered/proxy/forwarding/forwarder.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::proxy {

/// The referenced objects are not owned and must outlive this object, which lives until the process ends.
/// Nothing is sent while nobody waits, and nobody waits for an answer: without news of another owner, that
/// one counts with its static part.
class DemandExchange {
 public:
  /// `owners`: connections for the conversation wire::Conversation::kBackendRoom.
  DemandExchange(runtime::Runtime& runtime, FleetView& view, Forwarder& owners)
      : runtime_(runtime), view_(view), owners_(owners) {}

  /// To be called before a statement enters the gate. If it will wait there, the other owners are told now
  /// and each kDemandInterval, as long as any statement waits.
  void announce_wait(const std::shared_ptr<GroupAccess>& group, const std::shared_ptr<BackendState>& backend);
  /// Applies what another owner tells.
  void receive(const ForwardDemand& told);

 private:
  using Group = std::shared_ptr<GroupAccess>;
  using Backend = std::shared_ptr<BackendState>;

  /// Keeps this proxy's part up to date until nobody waits and all that was told has expired.
  void start_following(const Group& group, const Backend& backend);
  Awaitable<void> follow(Group group, Backend backend);
  void tell_others(const GroupAccess& group, const Backend& backend);
  void start_telling(const GroupName& group, const Backend& backend, const subset::ProxyPointer& owner,
                     bool wants_reply);
  Awaitable<void> tell(GroupName group, Backend backend, subset::ProxyPointer owner, bool wants_reply);

  runtime::Runtime& runtime_;
  FleetView& view_;
  Forwarder& owners_;
  std::set<const BackendState*> followed_;  ///< kept alive by follow()
  /// When an owner was last told about a backend, within kDemandInterval.
  std::map<std::pair<BackendName, NodeName>, TimePoint> told_at_;
};

}  // namespace cairnhollow::registered::proxy
