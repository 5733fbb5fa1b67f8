// Terms, roles and the applied state; replication is in database_member_replication.cpp.
#include "standins/database/database_member.h"

#include <fmt/format.h>

namespace cairnhollow::standins::database {

using declared::backend::BackendRole;

DatabaseMember::DatabaseMember(runtime::Runtime& runtime, const DatabaseSettings& settings,
                               const Tunables& tunables)
    : runtime_(runtime),
      settings_(settings),
      tunables_(tunables),
      term_lock_(runtime),
      log_lock_(runtime),
      changed_(runtime),
      log_(runtime, tunables),
      state_(settings.ledger_entries_per_session) {
  for (const auto& member : settings.initial_members) members_.push_back(member.backend);
}

Awaitable<bool> DatabaseMember::start(Reason& reason) {
  if (!load_term(runtime_.storage(), term_, reason)) co_return false;
  const bool loaded = co_await log_.load(reason);
  if (!loaded) co_return false;
  const auto& snapshot = log_.snapshot();
  if (!snapshot.state.empty() && !state_.restore_snapshot(snapshot.state, reason)) co_return false;
  committed_ = snapshot.position.index;
  runtime_.spawn("database_flush", flush_loop());
  runtime_.spawn("database_apply", apply_loop());
  runtime_.spawn("database_compaction", compaction_loop());
  co_return true;
}

void DatabaseMember::stop() {
  stopping_ = true;
  changed_.notify_all();
}

bool DatabaseMember::refuse(ReasonCode code, const char* step, std::string detail, Reason& reason) const {
  reason = Reason{code, step, settings_.backend.value, std::move(detail)};
  return false;
}

Awaitable<bool> DatabaseMember::save_term_record(Reason& reason) {
  term_saved_ = false;
  term_saved_ = co_await save_term(runtime_.storage(), term_, reason);
  co_return term_saved_;
}

Awaitable<std::optional<declared::backend::FenceAnswer>> DatabaseMember::fence(std::uint64_t term,
                                                                               std::string owner,
                                                                               Reason& reason) {
  co_await term_lock_.acquire();
  declared::backend::FenceAnswer answer;
  bool durable = true;
  if (term > term_.term) {
    // Lower terms are refused from here on, before the record is on disk: refusing early does no harm.
    step_down();
    term_ = TermRecord{term, owner, BackendName(), Endpoint()};
    term_saved_ = false;
    changed_.notify_all();
  }
  answer.granted = term == term_.term && owner == term_.owner && !owner.empty();
  answer.term = term_.term;
  if (answer.granted && !term_saved_) durable = co_await save_term_record(reason);
  if (answer.granted && durable) {
    // Behind the lock no older term's entries can still come in: the answer names the log's final end.
    co_await log_lock_.acquire();
    durable = co_await log_.sync(reason);
    log_lock_.release();
  }
  answer.last = log_.durable();
  answer.committed = committed();
  term_lock_.release();
  if (!durable) co_return std::nullopt;
  co_return answer;
}

Awaitable<bool> DatabaseMember::promote(std::uint64_t term, std::string owner, Reason& reason) {
  co_await term_lock_.acquire();
  bool promoted = false;
  if (term != term_.term || owner != term_.owner || owner.empty()) {
    refuse(ReasonCode::kFenced, "promote", fmt::format("not fenced at term {} by this owner", term), reason);
  } else if (is_primary()) {
    promoted = true;
  } else if (!term_.primary.empty()) {
    const auto detail = fmt::format("term {} has had its primary, {}", term, term_.primary.value);
    refuse(ReasonCode::kConflict, "promote", detail, reason);
  } else {
    term_.primary = settings_.backend;
    term_.primary_endpoint = settings_.endpoint;
    promoted = co_await save_term_record(reason);
    co_await log_lock_.acquire();
    if (promoted) become_primary();
    log_lock_.release();
  }
  term_lock_.release();
  co_return promoted;
}

Awaitable<bool> DatabaseMember::follow(std::uint64_t term, BackendName primary, Endpoint endpoint,
                                       Reason& reason) {
  co_await term_lock_.acquire();
  bool follows = true;
  const bool has_other_primary = !term_.primary.empty() && term_.primary != primary;
  if (term < term_.term) {
    follows = refuse(ReasonCode::kFenced, "follow", fmt::format("term {} is known", term_.term), reason);
  } else if (primary == settings_.backend) {
    follows = refuse(ReasonCode::kInvalidArgument, "follow", "a member can't follow itself", reason);
  } else if (term == term_.term && has_other_primary) {
    const auto detail = fmt::format("the primary of term {} is {}", term, term_.primary.value);
    follows = refuse(ReasonCode::kConflict, "follow", detail, reason);
  } else {
    if (term > term_.term) {
      step_down();
      term_ = TermRecord{term, "", BackendName(), Endpoint()};
    }
    const bool known = term_saved_ && term_.primary == primary && term_.primary_endpoint == endpoint;
    term_.primary = primary;
    term_.primary_endpoint = endpoint;
    if (!known) follows = co_await save_term_record(reason);
    changed_.notify_all();
  }
  term_lock_.release();
  co_return follows;
}

void DatabaseMember::step_down() {
  role_ = BackendRole::kReplica;
  progress_.reset();
  round_ = 0;
  primary_heard_at_.reset();
  for (const auto& [index, entry] : pending_) entry->lost = true;
  pending_.clear();
  pending_requests_.clear();
}

void DatabaseMember::become_primary() {
  role_ = BackendRole::kPrimary;
  round_ = 0;
  progress_.emplace(settings_.backend, members_);
  for (auto index = committed_ + 1; index <= log_.last().index; ++index) track(log_.entry(index));
  for (auto& entry : due_entries_) entry.due = TimePoint::min();
  apply_due_entries();
  append(NoOperation{});
  runtime_.logger().log(runtime::LogLevel::kInfo, "promoted", {{"term", std::to_string(term_.term)}});
}

void DatabaseMember::track(const LogEntry& entry) {
  auto pending = std::make_shared<PendingEntry>();
  pending->position = entry.position;
  pending_[entry.position.index] = pending;
  // The first entry that names a request decides it.
  if (const auto request = request_of(entry.command)) pending_requests_.emplace(*request, pending);
}

BackendName DatabaseMember::known_primary() const {
  // A primary that restarted knows itself as its term's primary, but is none any more.
  if (term_.primary == settings_.backend && !is_primary()) return BackendName();
  return term_.primary;
}

bool DatabaseMember::serves() const {
  return is_primary() && log_.term_at(committed_) == term_.term && !log_.failed();
}

bool DatabaseMember::hears_majority() const {
  return is_primary() && progress_->majority_heard(runtime_.now() - tunables_.primary_silence_limit);
}

bool DatabaseMember::hears_primary() const {
  return primary_heard_at_ && runtime_.now() - *primary_heard_at_ <= tunables_.primary_silence_limit;
}

Position DatabaseMember::committed() const { return {log_.term_at(committed_).value_or(0), committed_}; }

std::shared_ptr<PendingEntry> DatabaseMember::append(Command command) {
  LogEntry entry;
  entry.position = Position{term_.term, log_.last().index + 1};
  entry.command = std::move(command);
  track(entry);
  auto pending = pending_[entry.position.index];
  log_.append(std::move(entry));
  changed_.notify_all();
  return pending;
}

std::shared_ptr<PendingEntry> DatabaseMember::in_flight(const RequestId& request) const {
  const auto found = pending_requests_.find(request);
  return found == pending_requests_.end() ? nullptr : found->second;
}

Awaitable<void> DatabaseMember::wait_for(std::shared_ptr<PendingEntry> entry, TimePoint deadline) {
  while (!entry->result && !entry->lost && !stopping_ && runtime_.now() < deadline) {
    co_await changed_.wait_until(deadline);
  }
}

Awaitable<bool> DatabaseMember::wait_until_serving(std::uint64_t term, TimePoint deadline) {
  while (!serves() && is_primary() && term_.term == term && !stopping_ && runtime_.now() < deadline) {
    co_await changed_.wait_until(deadline);
  }
  co_return serves() && term_.term == term;
}

Awaitable<bool> DatabaseMember::wait_until_applied(Position position, TimePoint deadline) {
  while (state_.applied() < position && !stopping_ && runtime_.now() < deadline) {
    co_await changed_.wait_until(deadline);
  }
  co_return state_.applied() >= position;
}

Awaitable<bool> DatabaseMember::confirm(TimePoint deadline) {
  if (!serves()) co_return false;
  const auto term = term_.term;
  const auto round = ++round_;
  changed_.notify_all();
  const auto confirmed = [this, term, round] {
    return is_primary() && term_.term == term && progress_->majority_confirmed(round);
  };
  while (!confirmed() && is_primary() && term_.term == term && !stopping_ && runtime_.now() < deadline) {
    co_await changed_.wait_until(deadline);
  }
  co_return confirmed();
}

void DatabaseMember::set_committed(std::uint64_t index) {
  if (index <= committed_) return;
  committed_ = index;
  const bool lags = !is_primary() && tunables_.replication_lag > Duration(0);
  due_entries_.push_back({index, lags ? runtime_.now() + tunables_.replication_lag : TimePoint::min()});
  apply_due_entries();
  changed_.notify_all();
}

void DatabaseMember::apply_due_entries() {
  while (!due_entries_.empty() && due_entries_.front().due <= runtime_.now()) {
    apply_up_to(due_entries_.front().index);
    due_entries_.pop_front();
  }
}

void DatabaseMember::apply_up_to(std::uint64_t index) {
  while (state_.applied().index < index) {
    const auto& entry = log_.entry(state_.applied().index + 1);
    const auto result = state_.apply(entry);
    const auto pending = pending_.find(entry.position.index);
    if (pending == pending_.end()) continue;
    pending->second->result = result;
    const auto request = request_of(entry.command);
    if (request && in_flight(*request) == pending->second) pending_requests_.erase(*request);
    pending_.erase(pending);
  }
}

Awaitable<void> DatabaseMember::apply_loop() {
  while (!stopping_) {
    if (due_entries_.empty()) {
      co_await changed_.wait();
    } else {
      co_await changed_.wait_until(due_entries_.front().due);
    }
    const auto before = state_.applied();
    apply_due_entries();
    if (state_.applied() != before) changed_.notify_all();
  }
}

bool DatabaseMember::may_compact(Position position) const {
  // A replica that misses a few entries only is not made to fetch the whole state.
  const auto since = runtime_.now() - tunables_.primary_silence_limit;
  return !is_primary() || progress_->all_heard_hold(position.index, since);
}

Awaitable<void> DatabaseMember::compaction_loop() {
  while (!stopping_) {
    const auto applied = state_.applied();
    if (applied.index < log_.snapshot().position.index + settings_.snapshot_after_entries) {
      co_await changed_.wait();
      continue;
    }
    Snapshot snapshot{applied, state_.take_snapshot()};
    while (!may_compact(applied) && !stopping_) {
      co_await changed_.wait_until(runtime_.now() + tunables_.primary_silence_limit);
    }
    Reason reason;
    const bool compacted = co_await log_.compact(std::move(snapshot), reason);
    if (compacted) continue;
    runtime_.logger().log(runtime::LogLevel::kError, "compaction_failed", reason, {});
    co_return;
  }
}

}  // namespace cairnhollow::standins::database
