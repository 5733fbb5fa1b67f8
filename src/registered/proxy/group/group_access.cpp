#include "registered/proxy/group/group_access.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "registered/placement/attempt_outcome.h"
#include "registered/placement/retry_after.h"
#include "registered/registry/division.h"

namespace cairnhollow::registered::proxy {

using std::chrono::duration;

void GroupAccess::record_latency(BackendUse& backend, Duration took) {
  const double took_ms = duration<double, std::milli>(took).count();
  usual_latency_ms_ += kUsualLatencyWeight * (took_ms - usual_latency_ms_);
  backend.record_latency(took_ms, usual_latency_ms_, runtime_.now());
}

void GroupAccess::record_replica(BackendUse& backend, const ReadNeed& need, std::optional<Position> shown) {
  const TimePoint now = runtime_.now();
  if (!shown) return backend.record_applied(now - need.required_since, false, now);
  const auto first_seen = positions_.first_seen(*shown);
  // What it shows is newer than all that the primary was seen to have.
  backend.record_applied(first_seen ? now - *first_seen : Duration(0), true, now);
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
  const bool is_other_incarnation = use && use->entry.incarnation() != entry.incarnation();
  if (!use || is_other_incarnation || use->entry.endpoint != entry.endpoint) {
    if (is_other_incarnation) retire(*use);
    if (use) use->pool.close_idle();
    use = std::make_shared<BackendUse>(runtime_, dialer_, entry, evacuated_);
    ++membership_;
    member_lease_until_ = TimePoint{};
  }
  use->entry = entry;
  if (!entry.leaving) use->leaving_since.reset();
  if (entry.leaving && !use->leaving_since) use->leaving_since = runtime_.now();
  share_links(*use);
  changed_.notify_all();
}

void GroupAccess::retire(BackendUse& use) {
  use.pool.retire();
  if (use.entry.name != term_.primary) return;
  // What the former incarnation was sent is in doubt, and what it showed says nothing of the next one.
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
  // Whoever holds it still opens nothing there, and gives no link back to it.
  found->second->pool.retire();
  backends_.erase(found);
  changed_.notify_all();
}

std::size_t GroupAccess::serving_proxies(std::size_t proxies, bool tenants) const {
  std::vector<std::uint64_t> slots;
  for (const auto& [name, use] : backends_) slots.push_back(use->entry.slots);
  return registry::serving_proxies(rule_, slots, proxies, tenants);
}

bool GroupAccess::warm_one() {
  for (const auto& [name, use] : backends_) {
    if (!use->pool.has_no_link() || !placement::may_be_warmed(facts_of(*use, {}))) continue;
    // A cold one's slots are for statements.
    if (is_cold(*use)) continue;
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
  if (link) backend->rebirth.record_reached(runtime_.now());
  if (!link && !refusal) backend->rebirth.mark_unreachable();
  if (link) backend->pool.release(std::move(link));
  if (!link) backend->avoid_until = runtime_.now() + placement::kAvoidBackend;
}

void GroupAccess::share_connections(std::uint64_t proxies) {
  proxies_ = std::max<std::uint64_t>(proxies, 1);
  serving_.reset();
  for (const auto& [name, use] : backends_) share_links(*use);
}

void GroupAccess::share_connections(tenancy::ServingProxies serving) {
  proxies_ = std::max<std::uint64_t>(serving.all, 1);
  serving_ = std::move(serving);
  for (const auto& [name, use] : backends_) share_links(*use);
}

void GroupAccess::share_links(BackendUse& backend) const {
  const std::uint64_t usable = registry::usable_connections(rule_);
  std::uint64_t share = kMostConnections;
  if (usable > 0 && !serving_) share = usable / proxies_;
  if (usable > 0 && serving_) share = tenancy::links_of_proxy(usable, *serving_, backend.entry.zone, zone_);
  const bool is_near = serving_ && backend.entry.zone == zone_;
  share = std::clamp(share, kLeastConnections, is_near ? kMostNearConnections : kMostConnections);
  backend.pool.set_limit(share);
  backend.pool.set_idle_life(is_near ? kNearIdleLinkLife : kIdleLinkLife);
  const std::uint64_t users = is_near ? serving_->near(zone_) : proxies_;
  const std::uint64_t slots =
      std::max<std::uint64_t>(backend.entry.slots / std::max<std::uint64_t>(users, 1), 1);
  backend.gate.set_bounds(static_cast<std::uint32_t>(slots), static_cast<std::uint32_t>(share));
}

namespace {

bool takes_reads(const BackendUse& backend) { return !backend.entry.leaving && !backend.is_evacuated(); }

}  // namespace

bool GroupAccess::reads_in(const ZoneName& zone) const {
  return std::any_of(backends_.begin(), backends_.end(), [&](const auto& entry) {
    return entry.second->entry.zone == zone && takes_reads(*entry.second);
  });
}

std::vector<ZoneName> GroupAccess::reading_zones() const {
  std::set<ZoneName> zones;
  for (const auto& [name, use] : backends_) {
    if (takes_reads(*use)) zones.insert(use->entry.zone);
  }
  return {zones.begin(), zones.end()};
}

bool GroupAccess::is_cold(const BackendUse& backend) const {
  if (rule_.cold_rate_per_s <= 0 || confirmation_ == nullptr) return false;
  if (backend.entry.cold_ms > 0 || runtime_.now() < backend.cold_until) return true;
  return backend.rebirth.may_be_reborn(*confirmation_);
}

bool GroupAccess::is_cold_limit_reached(const BackendUse& backend) const {
  return runtime_.now() < backend.cold_limit_reached_until && is_cold(backend);
}

void GroupAccess::record_evacuation_ended(const ZoneName& zone) {
  for (const auto& [name, use] : backends_) {
    if (use->entry.zone == zone) use->cold_until = runtime_.now() + kColdAfterEvacuation;
  }
}

std::shared_ptr<BackendUse> GroupAccess::primary() {
  if (!term_.open) return nullptr;
  const auto found = backends_.find(term_.primary);
  if (found == backends_.end()) return nullptr;
  const placement::BackendFacts facts = facts_of(*found->second, {});
  return placement::may_lead(facts) && !facts.zone_evacuated ? found->second : nullptr;
}

placement::BackendFacts GroupAccess::facts_of(const BackendUse& backend,
                                              const PlacementQuestion& question) const {
  const TimePoint now = runtime_.now();
  const auto& leaving_since = backend.leaving_since;
  placement::BackendFacts facts;
  facts.name = backend.entry.name.value;
  facts.is_primary = backend.entry.name == term_.primary;
  facts.of_closed_term = facts.is_primary && (!term_.open || is_primary_restarted());
  facts.leaving = backend.entry.leaving;
  facts.leaving_grace_over = leaving_since && now - *leaving_since > kLeavingPrimaryUse;
  // A primary goes on for a while, so that it is followed while it runs.
  facts.transaction_grace_over = backend.is_off_limits(now);
  facts.zone_evacuated = facts.is_primary ? facts.transaction_grace_over : backend.is_evacuated();
  if (facts.zone_evacuated) facts.back_in = placement::kRetryAfterEvacuation;
  facts.tried = question.tried != nullptr && question.tried->count(backend.entry.name) > 0;
  facts.avoided = backend.avoid_until > now;
  facts.refused = backend.pool.is_refused();
  facts.cold_limit_reached = is_cold_limit_reached(backend);
  if (facts.cold_limit_reached) facts.back_in = backend.cold_limit_reached_until - now;
  if (question.allowed != nullptr) facts.region_allowed = question.allowed->allows(backend.entry.zone);
  if (!facts.region_allowed) facts.back_in = placement::kRetryAfterOutsideRegions;
  if (question.need == nullptr || question.need->primary_only) return facts;
  facts.lags = !facts.is_primary && backend.lag(now) > now - question.need->required_since;
  facts.cost = cost_of(backend);
  return facts;
}

GroupFacts GroupAccess::facts(const PlacementQuestion& question) const {
  GroupFacts facts;
  for (const auto& [name, use] : backends_) facts.push_back(facts_of(*use, question));
  return facts;
}

std::shared_ptr<BackendUse> GroupAccess::backend_at(std::size_t place) const {
  return std::next(backends_.begin(), static_cast<std::ptrdiff_t>(place))->second;
}

bool GroupAccess::is_primary_off_limits() const {
  if (!term_.open) return false;
  const auto found = backends_.find(term_.primary);
  return found != backends_.end() && found->second->is_off_limits(runtime_.now());
}

bool GroupAccess::is_primary_at_cold_limit() const {
  if (!term_.open) return false;
  const auto found = backends_.find(term_.primary);
  return found != backends_.end() && is_cold_limit_reached(*found->second);
}

void GroupAccess::close_evacuated_links() {
  for (const auto& [name, use] : backends_) {
    const bool leads = term_.open && name == term_.primary;
    if (leads ? use->is_off_limits(runtime_.now()) : use->is_evacuated()) use->pool.close_idle();
  }
}

double GroupAccess::cost_of(const BackendUse& backend) const {
  const double slots = static_cast<double>(std::max<std::uint64_t>(backend.entry.slots, 1));
  const double waiting = static_cast<double>(backend.gate.running() + backend.gate.waiting()) / slots;
  double cost = backend.latency_ms(runtime_.now(), usual_latency_ms_) * (1.0 + waiting);
  if (backend.entry.zone != zone_) cost += kOtherZoneCostMs;
  if (backend.entry.name == term_.primary) cost += kPrimaryReadCostMs;
  if (is_cold(backend)) cost += kColdCostMs;
  return cost;
}

std::shared_ptr<BackendUse> GroupAccess::choose_reader(const ReadNeed& need,
                                                       const std::set<BackendName>& excluded) {
  const PlacementQuestion question{&need, &excluded, need.allowed};
  const auto choice = placement::choose_backend(need.primary_only, facts(question));
  return choice.backend ? backend_at(*choice.backend) : nullptr;
}

bool GroupAccess::has_other_reader(const ReadNeed& need, const BackendUse& backend) {
  GroupFacts others = facts({&need, nullptr, need.allowed});
  for (placement::BackendFacts& other : others) other.tried = other.name == backend.entry.name.value;
  return placement::has_other_reader(need.primary_only, others);
}

std::optional<Position> GroupAccess::required_of(const BackendUse& backend, const ReadNeed& need) const {
  if (!need.primary_only) return need.required;
  if (!backend.entry.tells_birth() || backend.entry.name != term_.primary) return std::nullopt;
  return primary_shown_;
}

bool GroupAccess::is_primary_outside(const locality::PermittedRegions& allowed) const {
  if (allowed.is_anywhere() || !term_.open) return false;
  const auto leader = backends_.find(term_.primary);
  return leader != backends_.end() && !allowed.allows(leader->second->entry.zone);
}

bool GroupAccess::wants_position(Duration staleness) const {
  const auto newest = positions_.newest();
  return !newest || runtime_.now() - *newest > staleness / kPositionRefreshDivisor;
}

bool GroupAccess::is_staleness_wanted(TimePoint now) const {
  return staleness_wanted_ > Duration(0) && now - staleness_wanted_at_ <= kPositionInterest;
}

bool GroupAccess::is_position_due() const {
  const TimePoint now = runtime_.now();
  if (!term_.open || !is_staleness_wanted(now)) return false;
  const auto newest = positions_.newest();
  return !newest || now - *newest > staleness_wanted_ / kPositionAskDivisor;
}

ReadNeed GroupAccess::need_of(const registry::RouteRule& route, const SessionCommit& committed,
                              const locality::PermittedRegions* allowed) {
  ReadNeed need;
  need.primary_only = true;
  need.allowed = allowed;
  if (route.reads == registry::ReadPolicy::kPrimary) return need;
  const TimePoint now = runtime_.now();
  const Duration staleness = std::chrono::milliseconds(route.max_staleness_ms);
  staleness_wanted_ = is_staleness_wanted(now) ? std::min(staleness, staleness_wanted_) : staleness;
  staleness_wanted_at_ = now;
  // While the group is open the next read renews what is known, before it is too old; not one that may not go
  // to the primary, or would be refused there.
  const bool may_go = !is_primary_off_limits() && !is_primary_at_cold_limit() &&
                      (allowed == nullptr || !is_primary_outside(*allowed));
  if (term_.open && may_go && wants_position(staleness)) return need;
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

void GroupAccess::record_commit_answered(TimePoint sent_at) {
  answered_commit_sent_ = std::max(answered_commit_sent_, sent_at);
  if (!std::exchange(commits_stall_, false)) return;
  runtime_.logger().log(
      runtime::LogLevel::kInfo, "commits_answered",
      {{"group", group_.value}, {"primary", term_.primary.value}, {"epoch", std::to_string(term_.epoch)}});
}

bool GroupAccess::mark_broken_off() {
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

}  // namespace cairnhollow::registered::proxy
