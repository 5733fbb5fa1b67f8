#include "session/group_access.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>
#include <vector>

#include "registry/division.h"

namespace cairnhollow::session {

using std::chrono::duration;

double BackendUse::latency_ms(TimePoint now, double usual_ms) const {
  const double age = duration<double>(now - latency_noted_at_) / kLatencyMemory;
  return usual_ms + (latency_ms_ - usual_ms) * std::exp(-age);
}

void BackendUse::note_latency(double took_ms, double usual_ms, TimePoint now) {
  const double before = latency_ms(now, usual_ms);
  latency_ms_ = before + kLatencyWeight * (took_ms - before);
  latency_noted_at_ = now;
}

void GroupAccess::note_latency(BackendUse& backend, Duration took) {
  const double took_ms = duration<double, std::milli>(took).count();
  usual_latency_ms_ += kUsualLatencyWeight * (took_ms - usual_latency_ms_);
  backend.note_latency(took_ms, usual_latency_ms_, runtime_.now());
}

Duration BackendUse::lag(TimePoint now) const {
  const auto half_lives = (now - lag_noted_at_) / kLagHalfLife;
  constexpr std::int64_t kNothingLeft = 30;
  return half_lives >= kNothingLeft ? Duration(0) : lag_ / (std::int64_t{1} << half_lives);
}

void BackendUse::note_applied(Duration age, bool was_there, TimePoint now) {
  const Duration before = lag(now);
  lag_noted_at_ = now;
  if (was_there) {
    lag_ = before + (std::min(age, before) - before) / kLagSmoothing;
  } else {
    lag_ = std::max(before, age + age / kLagStepDivisor);
  }
}

bool BackendUse::note_shown(std::uint64_t term, Position position) {
  if (term != shown_term_) shown_ = Position{};
  shown_term_ = term;
  // Entries of earlier terms may still be rolled back.
  if (position.term == term) {
    const bool holds_less = position < shown_;
    shown_ = std::max(shown_, position);
    return !holds_less;
  }
  return shown_.index == 0;
}

void GroupAccess::note_replica(BackendUse& backend, const ReadNeed& need, std::optional<Position> shown) {
  const TimePoint now = runtime_.now();
  if (!shown) return backend.note_applied(now - need.required_since, false, now);
  const auto first_seen = positions_.first_seen(*shown);
  // What it shows is newer than all that the primary was seen to have.
  backend.note_applied(first_seen ? now - *first_seen : Duration(0), true, now);
}

void GroupAccess::set_term(const registry::GroupTerm& term) {
  const bool primary_given_up = term_.open && (!term.open || term.epoch != term_.epoch);
  if (term_.open && !term.open) closed_at_ = runtime_.now();
  const bool other_term = term.term != term_.term || term.primary != term_.primary ||
                          term.primary_born_ms != term_.primary_born_ms;
  term_ = term;
  if (other_term) forget_positions();
  broken_off_ = 0;
  if (primary_given_up) {
    member_lease_until_ = TimePoint{};
    commits_stall_ = false;
    // Nothing of the old term may be acknowledged from here on: whoever waits for an answer is told so at
    // once.
    for (const auto& [key, work] : work_) work.link->close();
  }
  changed_.notify_all();
}

void GroupAccess::extend_member_lease(std::uint64_t epoch, std::uint64_t membership, TimePoint until) {
  if (!term_.open || term_.epoch != epoch || membership_ != membership) return;
  member_lease_until_ = std::max(member_lease_until_, until);
  changed_.notify_all();
}

void GroupAccess::put_backend(const registry::BackendEntry& entry) {
  auto& use = backends_[entry.name];
  const bool is_other_life = use && use->entry.incarnation() != entry.incarnation();
  if (!use || is_other_life || use->entry.endpoint != entry.endpoint) {
    if (is_other_life) retire(*use);
    if (use) use->pool.close_idle();
    use = std::make_shared<BackendUse>(runtime_, dialer_, entry);
    ++membership_;
    member_lease_until_ = TimePoint{};
  }
  use->entry = entry;
  if (!entry.leaving) use->leaving_since.reset();
  if (entry.leaving && !use->leaving_since) use->leaving_since = runtime_.now();
  share_connections(proxies_);
  changed_.notify_all();
}

void GroupAccess::retire(BackendUse& use) {
  use.pool.retire();
  if (use.entry.name != term_.primary) return;
  // What the former life was sent is in doubt, and what it showed says nothing of the next one.
  for (const auto& [key, work] : work_) work.link->close();
  forget_positions();
}

void GroupAccess::forget_positions() {
  positions_.clear();
  primary_shown_.reset();
}

void GroupAccess::remove_backend(const BackendName& name) {
  const auto found = backends_.find(name);
  if (found == backends_.end()) return;
  found->second->pool.close_idle();
  backends_.erase(found);
  changed_.notify_all();
}

std::size_t GroupAccess::serving_proxies(std::size_t proxies) const {
  std::vector<std::uint64_t> slots;
  for (const auto& [name, use] : backends_) slots.push_back(use->entry.slots);
  return registry::serving_proxies(rule_, slots, proxies);
}

bool GroupAccess::warm_one() {
  for (const auto& [name, use] : backends_) {
    if (use->entry.leaving || use->avoid_until > runtime_.now() || !use->pool.is_cold()) continue;
    runtime_.spawn("warm_link", warm(use));
    return true;
  }
  return false;
}

Awaitable<void> GroupAccess::warm(std::shared_ptr<BackendUse> backend) {
  std::optional<Refusal> refusal;
  Reason reason;
  LinkWish wish;
  const TimePoint deadline = runtime_.now() + kDialTimeout;
  const LinkDeadlines deadlines{deadline, deadline};
  auto link = co_await backend->pool.acquire(std::move(wish), deadlines, refusal, reason);
  if (link) backend->pool.release(std::move(link));
  if (!link) backend->avoid_until = runtime_.now() + kAvoidBackend;
}

void GroupAccess::share_connections(std::uint64_t proxies) {
  proxies_ = std::max<std::uint64_t>(proxies, 1);
  std::uint64_t share = kMostConnections;
  if (rule_.max_connections > 0)
    share = std::clamp(registry::usable_connections(rule_) / proxies_, kLeastConnections, kMostConnections);
  for (const auto& [name, use] : backends_) {
    use->pool.set_limit(share);
    const std::uint64_t slots = std::max<std::uint64_t>(use->entry.slots / proxies_, 1);
    use->gate.set_bounds(static_cast<std::uint32_t>(slots), static_cast<std::uint32_t>(share));
  }
}

std::shared_ptr<BackendUse> GroupAccess::primary() {
  if (!term_.open) return nullptr;
  const auto found = backends_.find(term_.primary);
  if (found == backends_.end() || is_primary_restarted()) return nullptr;
  const auto& leaving_since = found->second->leaving_since;
  if (leaving_since && runtime_.now() - *leaving_since > kLeavingPrimaryUse) return nullptr;
  return found->second;
}

double GroupAccess::cost_of(const BackendUse& backend) const {
  const double slots = static_cast<double>(std::max<std::uint64_t>(backend.entry.slots, 1));
  const double waiting = static_cast<double>(backend.gate.running() + backend.gate.waiting()) / slots;
  double cost = backend.latency_ms(runtime_.now(), usual_latency_ms_) * (1.0 + waiting);
  if (backend.entry.zone != zone_) cost += kOtherZoneCostMs;
  if (backend.entry.name == term_.primary) cost += kPrimaryReadCostMs;
  return cost;
}

std::shared_ptr<BackendUse> GroupAccess::choose_reader(const ReadNeed& need,
                                                       const std::set<BackendName>& excluded) {
  const auto leader = primary();
  auto usable_leader = leader && excluded.count(leader->entry.name) == 0 ? leader : nullptr;
  if (need.primary_only) return usable_leader;
  const TimePoint now = runtime_.now();
  std::shared_ptr<BackendUse> best;
  std::shared_ptr<BackendUse> avoided;
  for (const auto& [name, use] : backends_) {
    if (use->entry.leaving || excluded.count(name) > 0) continue;
    // A primary of a closed group is not to be believed.
    if (name == term_.primary && !leader) continue;
    const bool lags = name != term_.primary && use->lag(now) > now - need.required_since;
    if (lags && leader) continue;
    const bool last_choice = use->avoid_until > now || use->pool.is_refused();
    auto& slot = last_choice ? avoided : best;
    if (!slot || cost_of(*use) < cost_of(*slot)) slot = use;
  }
  if (best) return best;
  return usable_leader ? usable_leader : avoided;
}

bool GroupAccess::has_other_reader(const ReadNeed& need, const BackendUse& backend) {
  const TimePoint now = runtime_.now();
  const auto other = choose_reader(need, {backend.entry.name});
  if (!other || other->avoid_until > now) return false;
  return other->entry.name == term_.primary || other->lag(now) <= now - need.required_since;
}

std::optional<Position> GroupAccess::required_of(const BackendUse& backend, const ReadNeed& need) const {
  if (!need.primary_only) return need.required;
  if (!backend.entry.tells_birth() || backend.entry.name != term_.primary) return std::nullopt;
  return primary_shown_;
}

ReadNeed GroupAccess::need_of(const registry::RouteRule& route, const SessionCommit& committed) const {
  ReadNeed need;
  need.primary_only = true;
  if (route.reads == registry::ReadPolicy::kPrimary) return need;
  const TimePoint now = runtime_.now();
  const Duration staleness = std::chrono::milliseconds(route.max_staleness_ms);
  const auto newest = positions_.newest();
  // While the group is open the next read renews what is known, before it is too old.
  if (term_.open && (!newest || now - *newest > staleness / kPositionRefreshDivisor)) return need;
  need.required = positions_.covering(now - staleness);
  if (!need.required) return need;
  need.required_since = positions_.first_seen(*need.required).value_or(now);
  if (route.reads == registry::ReadPolicy::kReadYourWrites && committed.position > need.required) {
    need.required = committed.position;
    need.required_since = committed.at;
  }
  need.primary_only = false;
  return need;
}

std::uint64_t GroupAccess::begin_work(PrimaryWork work) {
  const std::uint64_t key = next_work_++;
  work_.emplace(key, std::move(work));
  return key;
}

bool GroupAccess::refuses_commits() {
  const TimePoint now = runtime_.now();
  bool any = false;
  bool unanswered = false;
  for (const auto& [key, work] : work_) {
    if (!work.commits) continue;
    any = true;
    unanswered = unanswered || (now - work.since > kCommitStall && answered_commit_sent_ < work.since);
  }
  if (unanswered && !commits_stall_) {
    runtime_.logger().log(
        runtime::LogLevel::kWarning, "commits_stall",
        {{"group", group_.value}, {"primary", term_.primary.value}, {"epoch", std::to_string(term_.epoch)}});
  }
  commits_stall_ = commits_stall_ || unanswered;
  return commits_stall_ && any;
}

void GroupAccess::note_commit_answered(TimePoint sent_at) {
  answered_commit_sent_ = std::max(answered_commit_sent_, sent_at);
  if (!std::exchange(commits_stall_, false)) return;
  runtime_.logger().log(
      runtime::LogLevel::kInfo, "commits_answered",
      {{"group", group_.value}, {"primary", term_.primary.value}, {"epoch", std::to_string(term_.epoch)}});
}

bool GroupAccess::note_broken_off() {
  const TimePoint now = runtime_.now();
  if (broken_off_++ == 0) broken_off_since_ = now;
  return broken_off_ >= kBrokenOffStatements && now - broken_off_since_ >= kBrokenOffFor;
}

bool GroupAccess::is_primary_silent(TimePoint now, bool& commits) const {
  bool silent = false;
  commits = true;
  for (const auto& [key, work] : work_) {
    if (now - work.since < kPrimarySilence) continue;
    silent = true;
    commits = commits && work.commits;
  }
  return silent;
}

}  // namespace cairnhollow::session
