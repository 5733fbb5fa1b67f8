// Two regions that lose each other: each goes on serving the databases of its own domain, and refuses the
// other's at once.
#include <fmt/format.h>

#include <algorithm>

#include "simulation/regions.h"
#include "simulation/scenario.h"

namespace cairnhollow::simulation {

namespace {

using standins::callers::OperationOutcome;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration kCutDuration = minutes(4);
constexpr Duration kBeforeCut = seconds(5);
/// After the cut a lease runs out, and connections that were open are found dead.
constexpr Duration kLeaseOver = seconds(4);
/// A failover, or a proxy's restart, may hold up or fail what its own region asks for so long.
constexpr Duration kDisturbance = seconds(5);
/// To and fro between client and proxy, and the decision.
constexpr Duration kAtOnce = milliseconds(50);
constexpr Duration kChangeLimit = seconds(20);

struct Span {
  TimePoint from;
  TimePoint until;
  [[nodiscard]] bool holds(std::int64_t time) const {
    return time >= from.time_since_epoch().count() && time < until.time_since_epoch().count();
  }
};

struct CutReport {
  std::uint64_t served = 0;      ///< attempts in the own region
  std::uint64_t not_served = 0;  ///< of the own region, undisturbed
  std::uint64_t refused = 0;     ///< of the other region's database, at once
  std::uint64_t otherwise = 0;   ///< of the other region's database, in any other way
  std::string example;
};

bool is_southern_proxy(const Deployment& deployment, const std::string& endpoint) {
  return std::any_of(deployment.proxies.begin(), deployment.proxies.end(), [&](const auto& proxy) {
    return proxy.caller_endpoint.to_string() == endpoint && is_south(proxy.zone);
  });
}

bool is_southern_record(const Deployment& deployment, const OperationRecord& operation) {
  return operation.records.front().starts_with(database_of(kSouth, deployment.profile).value + "/");
}

/// Judges the attempts that began while the regions were apart.
CutReport judge(const History& history, const Deployment& deployment, const Span& cut,
                const std::vector<Span>& disturbances) {
  CutReport report;
  for (const auto& operation : history.operations) {
    if (!cut.holds(operation.invoked)) continue;
    const bool own =
        is_southern_proxy(deployment, operation.proxy) == is_southern_record(deployment, operation);
    const bool disturbed = std::any_of(disturbances.begin(), disturbances.end(),
                                       [&](const Span& span) { return span.holds(operation.invoked); });
    const bool at_once = operation.answered > 0 && operation.answered - operation.invoked < kAtOnce.count();
    const bool refused =
        operation.outcome == OperationOutcome::kNotRun && operation.refusal == "lease_expired";
    const bool served = operation.outcome == OperationOutcome::kAcknowledged;
    if (own && served) ++report.served;
    if (!own && refused && at_once) ++report.refused;
    const bool fault = own ? !served && !disturbed : !(refused && at_once) && !(disturbed && !served);
    if (!fault) continue;
    ++(own ? report.not_served : report.otherwise);
    report.example = fmt::format("{}:{} {} through {}: outcome {} {} after {} us", operation.session.value,
                                 operation.number, operation.records.front(), operation.proxy,
                                 static_cast<int>(operation.outcome), operation.refusal,
                                 (operation.answered - operation.invoked) / 1000);
  }
  return report;
}

void cut_regions(ScenarioRun& run) {
  auto& faults = run.world().network().faults();
  for (const auto& one : run.fleet().deployment().zones) {
    for (const auto& other : run.fleet().deployment().zones) {
      if (is_south(one) != is_south(other)) faults.cut_zones(one, other);
    }
  }
}

GroupName random_group_of(ScenarioRun& run, bool south) {
  GroupName group = run.random_group();
  while (is_south(ZoneName(group.value)) != south) group = run.random_group();
  return group;
}

/// Kills a primary of the region; another must take its place.
void kill_primary(ScenarioRun& run, bool south, std::vector<Span>& disturbances) {
  const auto group = random_group_of(run, south);
  const auto primary = run.fleet().primary_of(group);
  disturbances.push_back({run.world().now(), run.world().now() + kDisturbance});
  run.kill(primary.value);
  run.expect(run.fleet().wait_for_new_primary(group, primary, kDisturbance),
             "no new primary of " + group.value + " during the cut");
  run.run_for(kDisturbance);
}

/// Restarts a proxy of the region, which then cannot reach the other domain.
void restart_proxy(ScenarioRun& run, bool south, std::vector<Span>& disturbances) {
  std::string proxy = run.random_proxy();
  while (is_south(ZoneName(proxy)) != south) proxy = run.random_proxy();
  disturbances.push_back({run.world().now(), run.world().now() + 2 * kDisturbance});
  run.kill(proxy);
  run.run_for(seconds(1));
  run.restart(proxy);
  run.run_for(2 * kDisturbance);
}

/// Changes the label of a proxy of the region's domain.
void make_change(ScenarioRun& run, OperatorRole& by, bool south) {
  const auto& proxies = run.fleet().deployment().proxies;
  const auto& proxy = south ? proxies.back() : proxies.front();
  auto object = run.fleet().object(declared::config::ObjectKind::kProxy, proxy.node.value);
  object.labels.entries["note"] = "during-the-cut";
  std::vector<declared::config::ObjectChange> changes;
  changes.push_back({std::move(object), false, std::nullopt});
  const auto place = by.apply(std::move(changes), kChangeLimit, 1);
  run.run_for(kDisturbance);
  const auto& change = run.fleet().changes().changes.at(place);
  run.expect(!change.answers.empty() && change.answers.front().accepted,
             "a change was not accepted during the cut: " +
                 (change.failures.empty() ? "" : change.failures.back().to_string()));
}

void cut_and_judge(ScenarioRun& run) {
  run.run_for(kBeforeCut);
  cut_regions(run);
  const TimePoint begun = run.world().now();
  std::vector<Span> disturbances;
  run.run_for(kLeaseOver + run.random_between(seconds(0), seconds(5)));
  for (const bool south : {false, true}) {
    make_change(run, south ? run.fleet().operator_b() : run.fleet().operator_a(), south);
    kill_primary(run, south, disturbances);
    restart_proxy(run, south, disturbances);
  }
  run.run_for(begun + kCutDuration - run.world().now());
  const Span cut{begun + kLeaseOver, run.world().now() - seconds(1)};
  const auto report = judge(run.fleet().history(), run.fleet().deployment(), cut, disturbances);
  run.expect(report.served > 0 && report.not_served == 0,
             fmt::format("{} attempts of the own region's databases were not served, {} were; {}",
                         report.not_served, report.served, report.example));
  run.expect(report.refused > 0 && report.otherwise == 0,
             fmt::format("{} attempts of the other region's databases were not refused at once, {} were; {}",
                         report.otherwise, report.refused, report.example));
}

constexpr Duration kLoad = kBeforeCut + kCutDuration + seconds(20);

void light_load(FleetSettings& settings) {
  settings.operations_per_second = 10;
  // A caller does not wait out the cut.
  settings.caller.operation_limit = seconds(5);
}

void prepare_two_domains(FleetSettings& settings) {
  settings.adjust = make_two_domains;
  light_load(settings);
}

void prepare_one_domain(FleetSettings& settings) {
  settings.adjust = make_one_domain;
  light_load(settings);
}

}  // namespace

std::vector<Scenario> domain_scenarios() {
  return {{"regions-cut", "two regions, a domain each, lose each other for four minutes", kLoad,
           prepare_two_domains, cut_and_judge}};
}

const Scenario& regions_cut_in_one_domain() {
  static const Scenario scenario{"regions-cut-one-domain",
                                 "as regions-cut, with one domain over both regions: must fail", kLoad,
                                 prepare_one_domain, cut_and_judge};
  return scenario;
}

}  // namespace cairnhollow::simulation
