// Components shared by voting and relay control nodes: follow server, peer messages, group supervision,
// platform poller, event log, and the listener that dispatches connections to them.
#pragma once

#include <memory>

#include "declared/backend/backend_connection.h"
#include "declared/control/failover/group_supervision.h"
#include "declared/control/follow/follow_server.h"
#include "declared/control/machines/platform_poller.h"
#include "declared/control/news/peer_exchange.h"
#include "declared/control/operator/event_log.h"
#include "declared/control/settings.h"
#include "wire/connection_dispatcher.h"

namespace cairnhollow::declared::control {

/// Objects passed by reference must outlive this object, which must live until the process ends.
class ControlCore {
 public:
  /// `describe` fills in the fields of an outgoing peer status message that depend on the kind of node.
  ControlCore(runtime::Runtime& runtime, const ControlSettings& settings, ConfigView& configuration,
              RenewalBarrier& barrier, std::function<void(PeerStatusMessage&)> describe);

  /// Starts the background loops. Connections are accepted only after listen().
  void start();
  bool listen(Reason& reason);
  /// Stops accepting connections and ends all background loops except the peer exchange.
  void stop();
  /// Stops the peer exchange. Call last, so that peers receive updates until then.
  void stop_peer_exchange() { peer_exchange_.stop(); }

  wire::ConnectionDispatcher& dispatcher() { return dispatcher_; }
  ClusterStateDirectory& directory() { return directory_; }
  PeerExchange& peer_exchange() { return peer_exchange_; }
  EventLog& events() { return events_; }
  GroupSupervision& groups() { return groups_; }
  FollowServer& follow_server() { return follow_server_; }

 private:
  MonitorServices make_monitor_services();
  [[nodiscard]] PeerStatusMessage describe() const;

  runtime::Runtime& runtime_;
  ControlSettings settings_;
  ConfigView& configuration_;
  std::function<void(PeerStatusMessage&)> describe_sender_;
  ClusterStateDirectory directory_;
  EventLog events_;
  std::unique_ptr<backend::BackendConnector> connector_;
  PeerExchange peer_exchange_;
  MonitorServices monitor_services_;
  GroupSupervision groups_;
  FollowServer follow_server_;
  PlatformPoller platform_;
  wire::ConnectionDispatcher dispatcher_;
};

}  // namespace cairnhollow::declared::control
