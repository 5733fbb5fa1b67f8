// Polls the platform for its list of machines and publishes which of them are leaving.
#pragma once

#include <memory>

#include "declared/control/machines/machine_list.h"
#include "declared/control/news/cluster_state_directory.h"
#include "declared/control/operator/event_log.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::declared::control {

/// While the platform is unreachable, the last list remains in effect. Objects passed by reference must
/// outlive this object, which must live until the process ends.
class PlatformPoller {
 public:
  PlatformPoller(runtime::Runtime& runtime, Endpoint platform, Duration interval,
                 ClusterStateDirectory& directory, EventLog& events);

  /// Does nothing without a platform endpoint (port 0).
  void start();
  void stop();

 private:
  Awaitable<void> run();
  Awaitable<std::optional<MachineStates>> fetch(Reason& reason);
  void apply_list(const MachineStates& listed);
  void record_failure(const Reason& reason);

  runtime::Runtime& runtime_;
  Endpoint platform_;
  Duration interval_;
  ClusterStateDirectory& directory_;
  EventLog& events_;
  runtime::Signal wake_;
  std::shared_ptr<runtime::HttpConnection> connection_;
  bool answering_ = true;
  bool stopping_ = false;
};

}  // namespace cairnhollow::declared::control
