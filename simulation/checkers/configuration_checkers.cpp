// Checkers over the operators' changes and the configuration that proxies had in force.
#include <fmt/format.h>

#include <map>
#include <tuple>

#include "simulation/checkers/checkers.h"

namespace cairnhollow::simulation {

namespace {

double seconds_of(TimePoint time) { return std::chrono::duration<double>(time.time_since_epoch()).count(); }

bool same_answer(const declared::config::ChangeOutcome& one, const declared::config::ChangeOutcome& other) {
  return one.accepted == other.accepted && one.revision == other.revision &&
         one.reason.code == other.reason.code;
}

bool is_accepted(const ChangeRecord& change) {
  return !change.answers.empty() && change.answers.front().accepted;
}

void check_resends(const ChangeRecord& change, std::vector<Violation>& violations) {
  for (const declared::config::ChangeOutcome& answer : change.answers) {
    const declared::config::ChangeOutcome& first = change.answers.front();
    if (same_answer(answer, first)) continue;
    violations.push_back({"changes", change.request.change_id, "",
                          fmt::format("answered with revision {} ({}) and then with {} ({})", first.revision,
                                      first.accepted, answer.revision, answer.accepted)});
  }
}

}  // namespace

std::vector<Violation> check_changes(const ChangeHistory& changes) {
  std::vector<Violation> violations;
  std::map<std::tuple<DomainName, std::uint64_t>, std::string> by_revision;
  std::map<std::tuple<DomainName, declared::config::ObjectKey, std::uint64_t>, std::string> winners;
  for (const ChangeRecord& change : changes.changes) {
    check_resends(change, violations);
    if (!is_accepted(change)) continue;
    const std::string& id = change.request.change_id;
    const std::uint64_t revision = change.answers.front().revision;
    const auto [same_revision, is_new] = by_revision.emplace(std::tuple(change.domain, revision), id);
    if (!is_new) {
      violations.push_back(
          {"changes", id, "",
           fmt::format("accepted as revision {}, as {} was", revision, same_revision->second)});
    }
    for (const declared::config::ObjectChange& object : change.request.changes) {
      if (!object.based_on) continue;
      const auto [winner, is_first] =
          winners.emplace(std::tuple(change.domain, object.object.key(), *object.based_on), id);
      if (is_first) continue;
      violations.push_back(
          {"changes", id, object.object.name,
           fmt::format("accepted on version {}, as {} was", *object.based_on, winner->second)});
    }
  }
  return violations;
}

std::vector<Violation> check_in_force(const ChangeHistory& changes,
                                      const std::vector<ProxyObservation>& proxies, Duration lease) {
  // Of each domain, the highest revision accepted up to each time.
  std::map<DomainName, std::map<TimePoint, std::uint64_t>> accepted_in;
  for (const ChangeRecord& change : changes.changes) {
    if (is_accepted(change)) accepted_in[change.domain][change.answered] = change.answers.front().revision;
  }
  for (auto& [domain, accepted] : accepted_in) {
    std::uint64_t highest = 0;
    for (auto& [time, revision] : accepted) revision = highest = std::max(highest, revision);
  }
  std::vector<Violation> violations;
  for (const ProxyObservation& observation : proxies) {
    if (!observation.serves) continue;
    const auto& accepted = accepted_in[observation.domain];
    const auto later = accepted.upper_bound(observation.asked - lease - kInForceMargin);
    if (later == accepted.begin()) continue;
    const auto& [time, revision] = *std::prev(later);
    if (observation.revision >= revision) continue;
    violations.push_back(
        {"in_force", observation.proxy, observation.domain.value,
         fmt::format("serves by revision {} at {:.3f} s; {} was accepted at {:.3f} s", observation.revision,
                     seconds_of(observation.asked), revision, seconds_of(time))});
  }
  return violations;
}

std::vector<Violation> check_never_reverted(const std::vector<ProxyObservation>& proxies) {
  std::vector<Violation> violations;
  std::map<std::tuple<std::string, DomainName>, const ProxyObservation*> last;
  for (const ProxyObservation& observation : proxies) {
    if (!observation.serves) continue;
    const ProxyObservation*& earlier = last[{observation.proxy, observation.domain}];
    if (earlier != nullptr && observation.revision < earlier->revision) {
      violations.push_back(
          {"reverted", observation.proxy, observation.domain.value,
           fmt::format("served by revision {} at {:.3f} s and by {} at {:.3f} s", earlier->revision,
                       seconds_of(earlier->asked), observation.revision, seconds_of(observation.asked))});
    }
    earlier = &observation;
  }
  return violations;
}

}  // namespace cairnhollow::simulation
