// Callers offer three times what all slots together run, for a minute; then they are as before.
//
// Everyone opens the map at once, and more trips end than usual. The urgent writes alone stay within what the
// primaries run: nothing could serve them otherwise. A caller that is refused comes back at the time that the
// refusal names, until kPatience is over since it wanted to read or write: retries end that long after the
// overload.
#include <fmt/format.h>

#include "simulation/scenario.h"

namespace cairnhollow::simulation {

namespace {

using standins::callers::LoadSettings;
using standins::callers::OperationKind;
using standins::callers::PlannedOperation;
using standins::callers::Priority;
using standins::callers::RecordKey;
using standins::callers::Workload;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kBefore = seconds(10);
constexpr Duration kOverload = seconds(60);
constexpr Duration kAfter = seconds(14);
constexpr double kTimesCapacity = 3;
constexpr double kNormalRate = 60;  ///< operations a second
constexpr double kUrgentRate = 30;  ///< urgent writes a second more, in the overload
/// Long, so that slots are few statements and a minute of overload can be simulated.
constexpr Duration kStatementDuration = milliseconds(100);
constexpr Duration kStatementLimit = seconds(1);
constexpr Duration kPatience = seconds(1);
constexpr std::uint32_t kNormalSessions = 240;
constexpr std::uint32_t kMapSessions = 6000;
constexpr std::uint32_t kUrgentSessions = 300;
constexpr std::uint64_t kMapRecords = 60;
constexpr std::uint64_t kUrgentRecords = 60;

/// One kind of operation on some records of one database.
class OneKindWorkload final : public Workload {
 public:
  OneKindWorkload(std::string database, PlannedOperation operation, std::uint64_t records)
      : database_(std::move(database)), operation_(std::move(operation)), records_(records) {}

  PlannedOperation plan(std::uint32_t /*session*/, runtime::Random& random) override {
    PlannedOperation operation = operation_;
    operation.records = {RecordKey{database_, fmt::format("crowd.{}", random.below(records_)), "record"}};
    return operation;
  }

 private:
  std::string database_;
  PlannedOperation operation_;
  std::uint64_t records_;
};

bool is_study_card(ScenarioRun& run) {
  return run.fleet().deployment().profile == standins::callers::Profile::kStudyCard;
}

standins::callers::CallerSettings patient_caller() {
  standins::callers::CallerSettings caller;
  caller.statement_limit = kStatementLimit;
  caller.operation_limit = kPatience;
  caller.limit_from_due = true;
  return caller;
}

LoadSettings map_readers(ScenarioRun& run, double rate) {
  LoadSettings load;
  load.operations_per_second = rate;
  load.duration = kOverload;
  load.sessions = kMapSessions;
  load.caller = patient_caller();
  const std::string database = is_study_card(run) ? "deck" : "vehicle";
  load.workload = [database](const LoadSettings& /*settings*/) {
    return std::make_unique<OneKindWorkload>(
        database, PlannedOperation{OperationKind::kRead, {}, true, Priority::kLow}, kMapRecords);
  };
  return load;
}

LoadSettings urgent_writers(ScenarioRun& run) {
  LoadSettings load;
  load.operations_per_second = kUrgentRate;
  load.duration = kOverload;
  load.sessions = kUrgentSessions;
  load.caller = patient_caller();
  const std::string database = is_study_card(run) ? "learner" : "trip";
  load.workload = [database](const LoadSettings& /*settings*/) {
    return std::make_unique<OneKindWorkload>(
        database, PlannedOperation{OperationKind::kAppend, {}, false, Priority::kHigh}, kUrgentRecords);
  };
  return load;
}

double capacity_of(const Deployment& deployment) {
  double capacity = 0;
  for (const auto& settings : deployment.databases) {
    capacity += settings.slots / std::chrono::duration<double>(settings.statement_duration).count();
  }
  return capacity;
}

void overload(ScenarioRun& run) {
  run.run_for(kBefore);
  OverloadWindow window;
  window.from = run.world().now();
  window.until = window.from + kOverload;
  window.capacity = capacity_of(run.fleet().deployment());
  window.urgent_limit = kStatementLimit;
  const double map_rate = kTimesCapacity * window.capacity - kNormalRate - kUrgentRate;
  run.fleet().start_crowd("map-readers", map_readers(run, map_rate));
  run.fleet().start_crowd("urgent-writers", urgent_writers(run));
  run.run_for(kOverload + kAfter);
  run.mark_overload(window);
}

void prepare_overload(FleetSettings& settings) {
  settings.operations_per_second = kNormalRate;
  settings.sessions = kNormalSessions;
  settings.caller = patient_caller();
  settings.adjust = [](Deployment& deployment) {
    for (auto& database : deployment.databases) database.statement_duration = kStatementDuration;
  };
}

}  // namespace

std::vector<Scenario> overload_scenarios() {
  return {{"overloaded", "callers offer three times the capacity for a minute", kBefore + kOverload + kAfter,
           prepare_overload, overload}};
}

}  // namespace cairnhollow::simulation
