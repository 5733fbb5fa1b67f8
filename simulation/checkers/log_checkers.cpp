// Checkers over the databases' logs.
#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "simulation/checkers/checkers.h"
#include "standins/callers/checkers/history_index.h"

namespace cairnhollow::simulation {

namespace {

using standins::callers::is_acknowledged;
using standins::callers::is_write;
using standins::callers::OperationOutcome;
using standins::callers::request_name;

struct PlacedWrite {
  GroupName group;
  const LoggedWrite* write = nullptr;
};

std::string name_of(const RequestId& request) {
  return fmt::format("{}:{}", request.session.value, request.number);
}

std::string text_of(const Position& position) { return fmt::format("{}.{}", position.term, position.index); }

/// Writes that took effect, by the request's name.
std::multimap<std::string, PlacedWrite> effects(const std::vector<GroupLog>& logs) {
  std::multimap<std::string, PlacedWrite> found;
  for (const GroupLog& log : logs) {
    for (const LoggedWrite& write : log.writes) {
      if (write.took_effect) found.emplace(name_of(write.request), PlacedWrite{log.group, &write});
    }
  }
  return found;
}

std::int64_t nanoseconds(TimePoint time) { return time.time_since_epoch().count(); }

}  // namespace

std::vector<Violation> check_logs_agree(const std::vector<GroupLog>& logs) {
  std::vector<Violation> violations;
  for (const GroupLog& log : logs) {
    for (std::size_t member = 1; member < log.members.size(); ++member) {
      const auto& first = log.members.front();
      const auto& other = log.members[member];
      const std::size_t common = std::min(first.entries.size(), other.entries.size());
      for (std::size_t index = 0; index < common; ++index) {
        if (first.entries[index].position == other.entries[index].position) continue;
        violations.push_back({"logs_agree", "", log.group.value,
                              fmt::format("{} holds {} where {} holds {}", first.backend.value,
                                          text_of(first.entries[index].position), other.backend.value,
                                          text_of(other.entries[index].position))});
        break;
      }
    }
  }
  return violations;
}

std::vector<Violation> check_replaced_primaries(const History& history, const std::vector<GroupLog>& logs,
                                                const std::vector<PrimaryChange>& primary_changes) {
  std::vector<Violation> violations;
  const auto ran = effects(logs);
  for (const OperationRecord& operation : history.operations) {
    if (!is_write(operation) || !is_acknowledged(operation)) continue;
    const std::string name = request_name(operation);
    const auto found = ran.find(name);
    if (found == ran.end()) {
      violations.push_back({"replaced_primary", name, operation.records.front(),
                            "acknowledged by " + operation.served_by + " and in no committed log"});
      continue;
    }
    const PlacedWrite& placed = found->second;
    for (const PrimaryChange& change : primary_changes) {
      const bool applies = change.group == placed.group && nanoseconds(change.seen) < operation.invoked &&
                           placed.write->position.term < change.term;
      if (!applies) continue;
      violations.push_back({"replaced_primary", name, operation.records.front(),
                            fmt::format("committed at {} though {} was primary of term {} before it began",
                                        text_of(placed.write->position), change.primary.value, change.term)});
    }
  }
  return violations;
}

std::vector<Violation> check_not_run(const History& history, const std::vector<GroupLog>& logs) {
  std::vector<Violation> violations;
  const auto ran = effects(logs);
  for (const OperationRecord& operation : history.operations) {
    if (!is_write(operation) || operation.outcome != OperationOutcome::kNotRun) continue;
    const std::string name = request_name(operation);
    const auto found = ran.find(name);
    if (found == ran.end()) continue;
    violations.push_back({"not_run_ran", name, operation.records.front(),
                          fmt::format("refused as not run ({}), and ran at {} of {}", operation.refusal,
                                      text_of(found->second.write->position), found->second.group.value)});
  }
  return violations;
}

std::vector<Violation> check_at_most_once(const std::vector<GroupLog>& logs) {
  std::vector<Violation> violations;
  std::map<std::string, std::string> seen;
  for (const GroupLog& log : logs) {
    for (const LoggedWrite& write : log.writes) {
      if (!write.took_effect || write.request.number == 0) continue;
      const std::string name = name_of(write.request);
      const std::string place = log.group.value + " " + text_of(write.position);
      const auto [earlier, is_first] = seen.emplace(name, place);
      if (is_first) continue;
      violations.push_back(
          {"ran_twice", name, log.group.value, "ran at " + earlier->second + " and at " + place});
    }
  }
  return violations;
}

std::vector<Violation> check_transaction_entries(const std::vector<GroupLog>& logs) {
  std::vector<Violation> violations;
  for (const GroupLog& log : logs) {
    for (const LoggedWrite& write : log.writes) {
      const std::string name = name_of(write.request);
      // Callers append their own request's name, so a foreign value is another's statement.
      const auto foreign = std::find_if(write.values.begin(), write.values.end(),
                                        [&](const std::string& value) { return value != name; });
      if (foreign == write.values.end()) continue;
      violations.push_back({"mixed_transactions", name, log.group.value,
                            fmt::format("the command at {} holds {}", text_of(write.position), *foreign)});
    }
  }
  return violations;
}

}  // namespace cairnhollow::simulation
