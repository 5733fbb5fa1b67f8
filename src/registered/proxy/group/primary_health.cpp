#include "registered/proxy/group/primary_health.h"

#include <string>
#include <utility>

namespace cairnhollow::registered::proxy {

std::uint64_t PrimaryHealth::add_pending(PendingStatement statement) {
  const std::uint64_t key = next_key_++;
  pending_.emplace(key, std::move(statement));
  return key;
}

void PrimaryHealth::close_pending_links() {
  for (const auto& [key, statement] : pending_) statement.link->close();
}

bool PrimaryHealth::is_silent(TimePoint now, bool& commits_only) const {
  bool silent = false;
  commits_only = true;
  for (const auto& [key, statement] : pending_) {
    if (now - statement.sent_at < kPrimarySilence) continue;
    silent = true;
    commits_only = commits_only && statement.commits;
  }
  return silent;
}

bool PrimaryHealth::record_dropped_statement() {
  const TimePoint now = runtime_.now();
  if (dropped_statements_++ == 0) dropping_since_ = now;
  return dropped_statements_ >= kMinDroppedStatements && now - dropping_since_ >= kMinDropPeriod;
}

bool PrimaryHealth::refuses_commits() {
  const TimePoint now = runtime_.now();
  bool any = false;
  bool unanswered = false;
  for (const auto& [key, statement] : pending_) {
    if (!statement.commits) continue;
    any = true;
    unanswered = unanswered || (now - statement.sent_at > kCommitStall &&
                                last_answered_commit_sent_at_ < statement.sent_at);
  }
  if (unanswered && !commits_stalled_) log(runtime::LogLevel::kWarning, "commits_stall");
  commits_stalled_ = commits_stalled_ || unanswered;
  return commits_stalled_ && any;
}

void PrimaryHealth::record_commit_answered(TimePoint sent_at) {
  last_answered_commit_sent_at_ = std::max(last_answered_commit_sent_at_, sent_at);
  if (std::exchange(commits_stalled_, false)) log(runtime::LogLevel::kInfo, "commits_answered");
}

void PrimaryHealth::log(runtime::LogLevel level, const char* event) const {
  const registry::GroupTerm& term = leadership_.term();
  runtime_.logger().log(
      level, event,
      {{"group", term.group.value}, {"primary", term.primary.value}, {"epoch", std::to_string(term.epoch)}});
}

}  // namespace cairnhollow::registered::proxy
