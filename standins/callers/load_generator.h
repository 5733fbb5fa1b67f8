// An open-loop run of callers: operations are due at the times of a Poisson process, whether the system
// keeps up or not. Runs on any Runtime, the simulator's included.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "standins/callers/caller_session.h"

namespace cairnhollow::standins::callers {

struct LoadSettings {
  Profile profile = Profile::kStudyCard;
  double operations_per_second = 100;
  Duration duration = std::chrono::seconds(10);
  std::uint32_t sessions = 50;
  std::string run_name = "run";  ///< part of every session and partition key; new for each run
  CallerSettings caller;
  /// What is offered instead of the profile's mix; null: the profile's.
  std::function<std::unique_ptr<Workload>(const LoadSettings&)> workload;
};

class LoadGenerator {
 public:
  /// At least one proxy and one session. `runtime` outlives the generator.
  LoadGenerator(runtime::Runtime& runtime, LoadSettings settings);

  /// Returns when every operation that was due has been answered or given up.
  Awaitable<void> run();
  /// Settles unknown outcomes and reads every record that was written, at its primary. Returns false when
  /// a record could not be read in `limit`.
  Awaitable<bool> read_final_records(Duration limit, Reason& reason);

  [[nodiscard]] const History& history() const { return history_; }
  [[nodiscard]] const LoadStatistics& statistics() const { return statistics_; }

 private:
  Awaitable<void> run_session(std::size_t session);
  Awaitable<void> offer_operations();
  [[nodiscard]] std::set<std::string> written_records() const;
  Awaitable<bool> read_final_record(std::string record, TimePoint give_up, Reason& reason);

  runtime::Runtime& runtime_;
  LoadSettings settings_;
  std::unique_ptr<Workload> workload_;
  History history_;
  LoadStatistics statistics_;
  std::vector<std::unique_ptr<CallerSession>> sessions_;
  std::size_t sessions_running_ = 0;
  runtime::Signal session_ended_;
  std::unique_ptr<ProxyClient> final_reader_;
};

}  // namespace cairnhollow::standins::callers
