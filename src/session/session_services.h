// What the sessions of one proxy share.
#pragma once

#include "runtime/runtime.h"
#include "session/fleet_link.h"
#include "session/fleet_view.h"
#include "session/forwarder.h"
#include "session/limit_client.h"
#include "session/session_metrics.h"

namespace cairnhollow::session {

struct SessionServices {
  runtime::Runtime& runtime;
  FleetView& view;
  FleetLink& link;
  SessionMetrics& metrics;
  Forwarder& forwarder;
  LimitClient& limits;
};

}  // namespace cairnhollow::session
