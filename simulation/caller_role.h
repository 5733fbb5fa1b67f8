// The callers of a deployment as a simulated process: the stand-in callers' own code.
#pragma once

#include "runtime/role.h"
#include "runtime/runtime.h"
#include "standins/callers/load_generator.h"

namespace cairnhollow::simulation {

class CallerRole final : public runtime::Role {
 public:
  CallerRole(runtime::Runtime& runtime, standins::callers::LoadSettings settings)
      : runtime_(runtime), generator_(runtime, std::move(settings)) {}

  Awaitable<bool> start(Reason& reason) override;
  Awaitable<void> drain() override;
  /// Reads the final records; settled() holds once it is done or has failed.
  void settle(Duration limit);

  [[nodiscard]] bool finished() const { return finished_; }
  [[nodiscard]] bool settled() const { return settled_; }
  /// Why the final records could not be read.
  [[nodiscard]] const Reason& settle_failure() const { return settle_failure_; }
  [[nodiscard]] const standins::callers::History& history() const { return generator_.history(); }
  [[nodiscard]] const standins::callers::LoadStatistics& statistics() const {
    return generator_.statistics();
  }

 private:
  Awaitable<void> run();
  Awaitable<void> read_final_records(Duration limit);

  runtime::Runtime& runtime_;
  standins::callers::LoadGenerator generator_;
  bool finished_ = false;
  bool settled_ = false;
  Reason settle_failure_;
};

}  // namespace cairnhollow::simulation
