#include "registered/proxy/group/primary_health.h"

#include <string>
#include <utility>

namespace cairnhollow::registered::proxy {

std::uint64_t PrimaryHealth::begin_work(PrimaryWork work) {
  const std::uint64_t key = next_work_++;
  work_.emplace(key, std::move(work));
  return key;
}

void PrimaryHealth::break_off_work() {
  for (const auto& [key, work] : work_) work.link->close();
}

bool PrimaryHealth::is_silent(TimePoint now, bool& commits) const {
  bool silent = false;
  commits = true;
  for (const auto& [key, work] : work_) {
    if (now - work.since < kPrimarySilence) continue;
    silent = true;
    commits = commits && work.commits;
  }
  return silent;
}

bool PrimaryHealth::mark_broken_off() {
  const TimePoint now = runtime_.now();
  if (broken_off_++ == 0) broken_off_since_ = now;
  return broken_off_ >= kBrokenOffStatements && now - broken_off_since_ >= kBrokenOffFor;
}

bool PrimaryHealth::refuses_commits() {
  const TimePoint now = runtime_.now();
  bool any = false;
  bool unanswered = false;
  for (const auto& [key, work] : work_) {
    if (!work.commits) continue;
    any = true;
    unanswered = unanswered || (now - work.since > kCommitStall && answered_commit_sent_ < work.since);
  }
  if (unanswered && !commits_stall_) log(runtime::LogLevel::kWarning, "commits_stall");
  commits_stall_ = commits_stall_ || unanswered;
  return commits_stall_ && any;
}

void PrimaryHealth::record_commit_answered(TimePoint sent_at) {
  answered_commit_sent_ = std::max(answered_commit_sent_, sent_at);
  if (std::exchange(commits_stall_, false)) log(runtime::LogLevel::kInfo, "commits_answered");
}

void PrimaryHealth::log(runtime::LogLevel level, const char* event) const {
  const registry::GroupTerm& term = leadership_.term();
  runtime_.logger().log(
      level, event,
      {{"group", term.group.value}, {"primary", term.primary.value}, {"epoch", std::to_string(term.epoch)}});
}

}  // namespace cairnhollow::registered::proxy
