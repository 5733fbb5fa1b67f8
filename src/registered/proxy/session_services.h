// The services shared by all sessions of a proxy.
#pragma once

#include "registered/placement/waiting_room.h"
#include "registered/proxy/capacity/demand_exchange.h"
#include "registered/proxy/fleet/fleet_link.h"
#include "registered/proxy/fleet/fleet_view.h"
#include "registered/proxy/forwarding/forwarder.h"
#include "registered/proxy/limits/limit_client.h"
#include "registered/proxy/overload/overload_control.h"
#include "registered/proxy/session_metrics.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::proxy {

struct SessionServices {
  runtime::Runtime& runtime;
  FleetView& view;
  FleetLink& link;
  SessionMetrics& metrics;
  Forwarder& forwarder;
  LimitClient& limits;
  DemandExchange& demands;
  OverloadControl& overload;
  placement::WaitingRoom& waiting;
};

}  // namespace cairnhollow::registered::proxy
