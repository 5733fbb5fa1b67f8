#include "standins/registered/promotion_history.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace cairnhollow::standins::registered {

namespace {

std::string describe(const PromotionArrival& arrival) {
  return fmt::format("{} orders {} of {} with {} at {} ms", arrival.holder.value, arrival.backend.value,
                     arrival.group.value, arrival.fencing, in_ms(arrival.at.time_since_epoch()));
}

void check_token_order(const PromotionHistory& history, std::vector<std::string>& violations) {
  std::map<GroupName, PromotionArrival> highest;
  for (const PromotionArrival& arrival : history.arrivals) {
    PromotionArrival& newest = highest.try_emplace(arrival.group, arrival).first->second;
    if (arrival.fencing < newest.fencing)
      violations.push_back(fmt::format("ONE: a lower fencing token after a higher one: {}, after {}",
                                       describe(arrival), describe(newest)));
    if (arrival.fencing > newest.fencing) newest = arrival;
  }
}

void check_token_holders(const PromotionHistory& history, std::vector<std::string>& violations) {
  std::map<std::uint64_t, PromotionArrival> first_of_token;
  std::set<std::pair<std::uint64_t, NodeName>> reported;
  for (const PromotionArrival& arrival : history.arrivals) {
    const PromotionArrival& first = first_of_token.try_emplace(arrival.fencing, arrival).first->second;
    if (first.holder == arrival.holder) continue;
    if (!reported.insert({arrival.fencing, arrival.holder}).second) continue;
    violations.push_back(
        fmt::format("ONE: two holders with the same token: {}, and {}", describe(first), describe(arrival)));
  }
}

void check_commits(const PromotionHistory& history, std::vector<std::string>& violations) {
  std::map<GroupName, std::set<std::string>> counted;
  for (const PromotionEffect& effect : history.effects) {
    std::vector<std::string> lost;
    for (const std::string& commit : effect.lacking) {
      if (counted[effect.group].insert(commit).second) lost.push_back(commit);
    }
    if (lost.empty()) continue;
    violations.push_back(
        fmt::format("LOST: the promoted log lacks a commit that had been acknowledged to a caller: {} of {} "
                    "lacks {} at {} ms, the first: {}",
                    effect.backend.value, effect.group.value, lost.size(),
                    in_ms(effect.at.time_since_epoch()), lost.front()));
  }
}

}  // namespace

std::vector<std::string> find_lacking_commits(const std::vector<Attempt>& attempts,
                                              const std::vector<LogEntry>& log, TimePoint at) {
  std::set<std::string> held;
  for (const LogEntry& entry : log) held.insert(entry.record + " " + entry.token);
  std::vector<std::string> lacking;
  for (const Attempt& attempt : attempts) {
    const bool is_acknowledged =
        !attempt.token.empty() && attempt.outcome == AttemptOutcome::kAcknowledged && attempt.ended <= at;
    std::string commit = attempt.record + " " + attempt.token;
    if (is_acknowledged && !held.contains(commit)) lacking.push_back(std::move(commit));
  }
  return lacking;
}

std::vector<std::string> find_promotion_violations(const PromotionHistory& history) {
  std::vector<std::string> violations;
  check_token_order(history, violations);
  check_token_holders(history, violations);
  check_commits(history, violations);
  return violations;
}

}  // namespace cairnhollow::standins::registered
