#include "tests/consensus/run_checks.h"

#include <fmt/format.h>

#include <algorithm>

namespace cairnhollow::consensus {

void RunChecks::record_leader(std::uint64_t term, const std::string& name, std::uint64_t last_index) {
  const auto [known, inserted] = leaders_.emplace(term, name);
  if (!inserted) {
    violations_.push_back(fmt::format("election safety: {} is leader of term {}, but {} was already", name,
                                      term, known->second));
  }
  for (const auto& [lower_term, committed] : last_committed_) {
    if (lower_term >= term || committed <= last_index) continue;
    violations_.push_back(fmt::format(
        "leader completeness: {} is leader of term {} with last index {}, but term {} committed index {}",
        name, term, last_index, lower_term, committed));
    return;
  }
}

void RunChecks::record_committed(std::uint64_t term, std::uint64_t index) {
  std::uint64_t& last = last_committed_[term];
  last = std::max(last, index);
}

void RunChecks::record_log(std::uint64_t previous_term, const std::vector<LogEntry>& entries) {
  for (const LogEntry& entry : entries) {
    KnownEntry seen{previous_term, entry.kind, entry.payload};
    previous_term = entry.term;
    const auto [known, inserted] = entries_.emplace(EntryId{entry.index, entry.term}, seen);
    if (inserted || known->second == seen) continue;
    violations_.push_back(
        fmt::format("log matching: different entries at index {} of term {}", entry.index, entry.term));
  }
}

void RunChecks::record_acknowledged(std::uint64_t index, const std::string& command) {
  acknowledged_.emplace(index, command);
  last_acknowledged_ = std::max(last_acknowledged_, index);
}

void RunChecks::record_barrier(std::uint64_t minimum, std::uint64_t index, const std::string& name) {
  ++barriers_;
  if (index >= minimum) return;
  violations_.push_back(
      fmt::format("read barrier: {} returned index {}, but index {} was acknowledged before it began", name,
                  index, minimum));
}

void RunChecks::check_outcomes(const std::map<std::uint64_t, std::string>& applied) {
  for (const auto& [index, command] : acknowledged_) {
    const auto found = applied.find(index);
    if (found != applied.end() && found->second == command) continue;
    violations_.push_back(
        fmt::format("durability: {} was acknowledged at index {} but lost", command, index));
  }
  for (const auto& [index, command] : applied) {
    if (!refused_.contains(command)) continue;
    violations_.push_back(fmt::format("outcome: {} was refused but applied at index {}", command, index));
  }
}

}  // namespace cairnhollow::consensus
