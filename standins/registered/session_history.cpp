#include "standins/registered/session_history.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace cairnhollow::standins::registered {

namespace {

bool is_acknowledged_write(const Attempt& attempt) {
  return !attempt.token.empty() && attempt.outcome == AttemptOutcome::kAcknowledged;
}

/// Whether `read` must show what `write` wrote.
bool must_show(const Attempt& read, const Attempt& write) {
  if (write.record != read.record || !is_acknowledged_write(write)) return false;
  if (read.policy == cairnhollow::registered::registry::ReadPolicy::kPrimary) return write.ended < read.begun;
  const bool own = read.policy == cairnhollow::registered::registry::ReadPolicy::kReadYourWrites &&
                   write.session == read.session;
  if (own) return write.ended < read.begun;
  return write.ended < read.begun - read.staleness;
}

void check_reads(const std::vector<Attempt>& history, std::vector<std::string>& violations) {
  std::map<std::string, std::vector<const Attempt*>> writes;  // acknowledged ones, by record
  for (const Attempt& attempt : history) {
    if (is_acknowledged_write(attempt)) writes[attempt.record].push_back(&attempt);
  }
  for (const Attempt& read : history) {
    if (!read.has_read) continue;
    if (read.tag != read.session)
      violations.push_back(fmt::format("foreign: {} read under the values of {}", read.session, read.tag));
    const std::set<std::string> shown(read.tokens.begin(), read.tokens.end());
    for (const Attempt* write : writes[read.record]) {
      if (!must_show(read, *write) || shown.count(write->token) > 0) continue;
      violations.push_back(
          fmt::format("stale: {} did not see {} of {}", read.session, write->token, write->record));
    }
  }
}

void check_writes(const std::vector<Attempt>& history, const std::vector<std::string>& final_tokens,
                  std::vector<std::string>& violations) {
  std::map<std::string, int> kept;
  for (const std::string& token : final_tokens) ++kept[token];
  for (const auto& [token, count] : kept) {
    if (count > 1) violations.push_back(fmt::format("doubled: {}", token));
  }
  for (const Attempt& attempt : history) {
    if (attempt.token.empty()) continue;
    const bool there = kept.count(attempt.record + " " + attempt.token) > 0;
    if (attempt.outcome == AttemptOutcome::kAcknowledged && !there)
      violations.push_back(fmt::format("lost: {} of {}", attempt.token, attempt.record));
    if (attempt.outcome == AttemptOutcome::kPromisedNotKept && there)
      violations.push_back(
          fmt::format("kept though promised not to be: {} of {}", attempt.token, attempt.record));
  }
}

}  // namespace

std::vector<std::string> find_violations(const std::vector<Attempt>& history,
                                         const std::vector<std::string>& final_tokens) {
  std::vector<std::string> violations;
  check_reads(history, violations);
  check_writes(history, final_tokens, violations);
  return violations;
}

Duration longest_write_gap(const std::vector<Attempt>& history, TimePoint from, TimePoint to) {
  std::vector<TimePoint> ends{from, to};
  for (const Attempt& attempt : history) {
    if (is_acknowledged_write(attempt) && attempt.ended > from && attempt.ended < to)
      ends.push_back(attempt.ended);
  }
  std::sort(ends.begin(), ends.end());
  Duration longest{0};
  for (std::size_t i = 1; i < ends.size(); ++i) longest = std::max(longest, ends[i] - ends[i - 1]);
  return longest;
}

}  // namespace cairnhollow::standins::registered
