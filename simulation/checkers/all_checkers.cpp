#include <iterator>

#include "simulation/checkers/checkers.h"
#include "standins/callers/checkers/all_checkers.h"

namespace cairnhollow::simulation {

namespace {

void add(std::vector<Violation>& all, std::vector<Violation> found) {
  std::move(found.begin(), found.end(), std::back_inserter(all));
}

}  // namespace

std::vector<Violation> check_evidence(const Evidence& evidence) {
  std::vector<Violation> all;
  add(all, standins::callers::check_history(evidence.history));
  add(all, check_logs_agree(evidence.logs));
  add(all, check_replaced_primaries(evidence.history, evidence.logs, evidence.primary_changes));
  add(all, check_not_run(evidence.history, evidence.logs));
  add(all, check_at_most_once(evidence.logs));
  add(all, check_transaction_entries(evidence.logs));
  add(all, check_leaving_backends(evidence.history, evidence.leaving));
  add(all, check_work_of_leaving(evidence.work, evidence.leaving));
  if (evidence.planned_stops_only) add(all, check_planned_stops(evidence.history));
  if (evidence.overload) add(all, check_overload(evidence.history, *evidence.overload));
  add(all, check_changes(evidence.changes));
  add(all, check_in_force(evidence.changes, evidence.proxies, evidence.serving_lease));
  add(all, check_never_reverted(evidence.proxies));
  add(all, check_liveness(evidence.history, evidence.healed_at));
  return all;
}

}  // namespace cairnhollow::simulation
