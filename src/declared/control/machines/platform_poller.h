// Asks the platform for its list of machines again and again and passes on which of them are leaving.
#pragma once

#include <memory>

#include "declared/control/machines/machine_list.h"
#include "declared/control/news/news_directory.h"
#include "declared/control/operator/event_log.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::declared::control {

/// While the platform does not answer, the last list holds. What it refers to outlives it; it lives until the
/// process ends.
class PlatformPoller {
 public:
  PlatformPoller(runtime::Runtime& runtime, Endpoint platform, Duration interval, NewsDirectory& directory,
                 EventLog& events);

  /// Without a platform endpoint (port 0) nothing is done.
  void start();
  void stop();

 private:
  Awaitable<void> run();
  Awaitable<std::optional<MachineStates>> fetch(Reason& reason);
  void take_list(const MachineStates& listed);
  void record_failure(const Reason& reason);

  runtime::Runtime& runtime_;
  Endpoint platform_;
  Duration interval_;
  NewsDirectory& directory_;
  EventLog& events_;
  runtime::Signal wake_;
  std::shared_ptr<runtime::HttpConnection> connection_;
  bool answering_ = true;
  bool stopping_ = false;
};

}  // namespace cairnhollow::declared::control
