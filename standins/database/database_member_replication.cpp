// Replication by pull: the primary's side (serve_pull, commit) and the replica's (take_answer).
#include <algorithm>

#include "standins/database/database_member.h"

namespace cairnhollow::standins::database {

namespace {

constexpr std::size_t kEntriesPerPull = 256;
constexpr std::size_t kTermEndsPerPull = 16;
/// A pull without news is answered after this part (one in so many) of the primary silence limit, so that
/// neither side takes a quiet group for a broken one.
constexpr int kHoldShare = 3;

}  // namespace

Awaitable<void> DatabaseMember::flush_loop() {
  while (!stopping_) {
    if (!is_primary() || log_.durable() == log_.last() || log_.failed()) {
      co_await changed_.wait();
      continue;
    }
    Reason reason;
    const bool synced = co_await log_.sync(reason);
    if (synced) {
      advance_commit();
    } else {
      runtime_.logger().log(runtime::LogLevel::kError, "log_write_failed", reason, {});
      step_down();
      changed_.notify_all();
    }
  }
}

/// Raft, section 5.4.2: only an entry of the primary's own term is committed by counting; what lies before
/// it is committed with it.
void DatabaseMember::advance_commit() {
  if (!is_primary()) return;
  const auto index = progress_->majority_index(log_.durable().index);
  if (index > committed_ && log_.term_at(index) == term_.term) set_committed(index);
}

/// The last position that this log shares with the one described by `term_ends` (latest first). Entries of
/// one term come from one primary, so that within a term the shorter log is the other one's beginning.
std::optional<Position> DatabaseMember::common_point(const std::vector<Position>& term_ends) const {
  const auto own_ends = log_.term_ends(log_.last().index + 1);
  for (const auto& theirs : term_ends) {
    const auto own = std::find_if(own_ends.begin(), own_ends.end(),
                                  [&theirs](const Position& end) { return end.term == theirs.term; });
    if (own != own_ends.end()) return Position{theirs.term, std::min(own->index, theirs.index)};
  }
  return std::nullopt;
}

PullAnswer DatabaseMember::make_answer(PullAnswerKind kind) const {
  PullAnswer answer;
  answer.kind = kind;
  answer.term = term_.term;
  answer.committed = committed_;
  answer.round = round_;
  return answer;
}

bool DatabaseMember::has_news(const PullRequest& request) const {
  return log_.last().index > request.term_ends.front().index || committed_ > request.committed ||
         round_ > request.round;
}

PullAnswer DatabaseMember::make_news(const PullRequest& request) const {
  const auto last = request.term_ends.front().index;
  if (last < log_.snapshot().position.index) {
    auto answer = make_answer(PullAnswerKind::kSnapshot);
    answer.snapshot = log_.snapshot();
    return answer;
  }
  auto answer = make_answer(PullAnswerKind::kEntries);
  answer.entries = log_.entries_after(last, kEntriesPerPull);
  return answer;
}

Awaitable<PullAnswer> DatabaseMember::serve_pull(PullRequest request) {
  const auto is_current = [this, &request] { return is_primary() && term_.term == request.term; };
  if (!is_current() || !progress_->is_replica(request.replica) || request.term_ends.empty()) {
    co_return make_answer(PullAnswerKind::kNotPrimary);
  }
  progress_->heard(request.replica, runtime_.now(), request.round);
  changed_.notify_all();
  const auto last = request.term_ends.front();
  if (last.index >= log_.snapshot().position.index) {
    // Equal term and index mean equal logs up to there (Raft, section 5.3).
    if (log_.term_at(last.index) != last.term) {
      const auto common = common_point(request.term_ends);
      auto answer = make_answer(PullAnswerKind::kCut);
      // What the replica knows to be committed is surely shared.
      answer.cut_to = common ? common->index : request.committed;
      co_return answer;
    }
    progress_->matched(request.replica, last.index);
    advance_commit();
  }
  const auto hold_until = runtime_.now() + tunables_.primary_silence_limit / kHoldShare;
  while (is_current() && !has_news(request) && !stopping_ && runtime_.now() < hold_until) {
    co_await changed_.wait_until(hold_until);
  }
  if (!is_current()) co_return make_answer(PullAnswerKind::kNotPrimary);
  co_return make_news(request);
}

bool DatabaseMember::follows() const {
  return !is_primary() && term_saved_ && !term_.primary.empty() && term_.primary != settings_.backend;
}

Awaitable<std::optional<PullRequest>> DatabaseMember::next_pull(Reason& reason) {
  // A pull acknowledges what it names: a former primary may hold entries that were never synced.
  const bool durable = co_await log_.sync(reason);
  if (!durable) co_return std::nullopt;
  PullRequest request;
  request.replica = settings_.backend;
  request.term = term_.term;
  request.term_ends = log_.term_ends(kTermEndsPerPull);
  request.committed = committed_;
  request.round = round_;
  co_return request;
}

Awaitable<bool> DatabaseMember::take_answer(PullAnswer answer, std::uint64_t term, Reason& reason) {
  co_await log_lock_.acquire();
  bool taken = true;
  // No wait lies between this check and the change to the log.
  if (follows() && term_.term == term && answer.term == term) {
    if (answer.kind != PullAnswerKind::kNotPrimary) {
      primary_heard_at_ = runtime_.now();
      round_ = answer.round;
    }
    if (answer.kind == PullAnswerKind::kEntries)
      taken = co_await take_entries(std::move(answer), reason);
    else if (answer.kind == PullAnswerKind::kCut)
      taken = co_await take_cut(answer.cut_to, reason);
    else if (answer.kind == PullAnswerKind::kSnapshot)
      taken = co_await take_snapshot(std::move(answer), reason);
    else
      taken = refuse(ReasonCode::kNotPrimary, "pull", "the primary of the term has given up", reason);
  } else {
    taken = refuse(ReasonCode::kFenced, "pull", "the answer is of another term", reason);
  }
  log_lock_.release();
  co_return taken;
}

Awaitable<bool> DatabaseMember::take_entries(PullAnswer answer, Reason& reason) {
  for (auto& entry : answer.entries) {
    if (entry.position.index != log_.last().index + 1 || entry.position.term < log_.last().term) {
      co_return refuse(ReasonCode::kCorrupt, "pull", "an entry does not follow the last one", reason);
    }
    log_.append(std::move(entry));
  }
  if (!answer.entries.empty()) {
    const bool synced = co_await log_.sync(reason);
    if (!synced) co_return false;
  }
  set_committed(std::min(answer.committed, log_.last().index));
  co_return true;
}

Awaitable<bool> DatabaseMember::take_cut(std::uint64_t cut_to, Reason& reason) {
  if (cut_to < committed_) {
    co_return refuse(ReasonCode::kCorrupt, "pull", "the primary lacks a committed entry", reason);
  }
  runtime_.logger().log(runtime::LogLevel::kInfo, "uncommitted_tail_cut",
                        {{"from", std::to_string(cut_to + 1)}, {"to", std::to_string(log_.last().index)}});
  co_return co_await log_.cut_after(cut_to, reason);
}

Awaitable<bool> DatabaseMember::take_snapshot(PullAnswer answer, Reason& reason) {
  if (!answer.snapshot || answer.snapshot->position.index <= committed_) {
    co_return refuse(ReasonCode::kCorrupt, "pull", "the snapshot is older than the log", reason);
  }
  if (!state_.restore_snapshot(answer.snapshot->state, reason)) co_return false;
  due_entries_.clear();
  committed_ = answer.snapshot->position.index;
  const bool installed = co_await log_.install(std::move(*answer.snapshot), reason);
  changed_.notify_all();
  co_return installed;
}

}  // namespace cairnhollow::standins::database
