#include "registered/registry/state_machine.h"

#include <algorithm>
#include <set>
#include <utility>

#include "wire/codec.h"

namespace cairnhollow::registered::registry {

namespace {

/// Maximum number of removed rows recorded per table.
constexpr std::size_t kMaxRemovedRows = 4096;

}  // namespace

void FleetStateMachine::apply(std::uint64_t /*index*/, const std::string& command) {
  Reason reason;
  auto logged = wire::decode<LoggedCommand>(command, reason);
  if (!logged) return;  // written by a newer build; skipped by every node of this build
  const bool effective =
      std::visit([this](auto& alternative) { return execute(alternative); }, logged->command);
  if (!effective) return;
  state_.revision = next_revision();
  trim_removed_rows();
  changed_.notify_all();
}

template <class Key, class Row>
void FleetStateMachine::replace_rows(RevisedTable<Key, Row>& table, const std::vector<Row>& rows) {
  std::set<Key> kept;
  for (const Row& row : rows) {
    kept.insert(row.name);
    const Row* held = table.find(row.name);
    if (held == nullptr || !(*held == row)) table.put(row.name, row, next_revision());
  }
  for (const Row& row : table.all()) {
    if (kept.count(row.name) == 0) table.remove(row.name, next_revision());
  }
}

void FleetStateMachine::replace_routes(const std::vector<RouteRule>& routes) {
  using RoutesByName = std::map<RouteName, std::map<RouteKey, RouteRule>>;
  RoutesByName before;
  RoutesByName after;
  for (RouteRule& held : state_.routes.all()) before[held.name].emplace(held.key(), held);
  for (const RouteRule& route : routes) after[route.name].emplace(route.key(), route);
  const auto is_unchanged = [&](const RouteName& name) {
    const auto held = before.find(name);
    const auto given = after.find(name);
    return held != before.end() && given != after.end() && held->second == given->second;
  };
  for (const auto& [name, held] : before) {
    if (is_unchanged(name)) continue;
    for (const auto& [key, route] : held) state_.routes.erase(key);
    if (after.count(name) == 0) state_.routes.record_removed(RouteKey(name.value), next_revision());
  }
  for (const auto& [name, given] : after) {
    if (is_unchanged(name)) continue;
    for (const auto& [key, route] : given) state_.routes.put(key, route, next_revision());
    state_.routes.forget_removed_key(RouteKey(name.value));
  }
}

bool FleetStateMachine::execute(ReplaceDocument& command) {
  ConfigurationDocument& document = command.document;
  if (document.version <= state_.document_version) return false;
  state_.document_version = document.version;
  state_.document_text = std::move(document.text);
  state_.transaction_idle_ms = document.transaction_idle_ms;
  replace_routes(document.routes);
  replace_rows(state_.groups, document.groups);
  update_cold_limits();
  state_.requires_keys = document.requires_keys;
  replace_rows(state_.tenants, document.tenants);
  return true;
}

bool FleetStateMachine::execute(RegisterBackend& command) {
  BackendEntry& entry = command.entry;
  if (is_deregistered(entry.name, entry.start_time_ms)) return false;
  const BackendEntry* held = state_.backends.find(entry.name);
  if (held != nullptr && !entry.supersedes(*held)) return false;
  if (!claim_address(entry)) return false;
  put_backend(std::move(entry));
  return true;
}

bool FleetStateMachine::claim_address(const BackendEntry& entry) {
  const auto found = backend_at_endpoint_.find(entry.endpoint);
  if (found == backend_at_endpoint_.end() || found->second == entry.name) return true;
  const BackendEntry* other = state_.backends.find(found->second);
  const GroupName group = other->group;
  const BackendName name = other->name;
  // An address belongs to the backend that started there last or, if neither reports a start time, registered
  // there last.
  if (entry.is_older_incarnation_than(*other)) return false;
  // A leaving backend whose deregistration did not arrive passes its log on as well.
  remove_backend(name, !other->leaving);
  state_.unsettled_promotions.settle_ended(group, name);
  return true;
}

bool FleetStateMachine::execute(DeregisterBackend& command) {
  const BackendEntry* held = state_.backends.find(command.name);
  // The command refers to an earlier incarnation; the registered one remains.
  if (held != nullptr && command.start_time_ms != 0 && command.start_time_ms < held->start_time_ms)
    return false;
  return remove_backend(command.name, false);
}

bool FleetStateMachine::execute(BeginEvacuation& command) {
  if (is_evacuated(command.zone)) return false;
  state_.evacuations.put(command.zone, Evacuation{command.zone}, next_revision());
  return true;
}

bool FleetStateMachine::execute(EndEvacuation& command) {
  return state_.evacuations.remove(command.zone, next_revision());
}

bool FleetStateMachine::execute(SettleDeparted& command) {
  state_.departed.settle(command.group, command.departed);
  // Proxies are not sent the departed members, so the revision remains.
  return false;
}

// Proxies are not sent the promotion attempts, so these commands leave the revision as it is.

bool FleetStateMachine::execute(BeginPromotion& command) {
  const PromotionAttempt& attempt = command.attempt;
  const GroupTerm* held = find_term(attempt.group);
  const bool is_current = held != nullptr && held->epoch == attempt.epoch;
  if (is_current && (!held->open || held->primary == attempt.backend))
    state_.unsettled_promotions.begin(attempt);
  return false;
}

bool FleetStateMachine::execute(SettlePromotions& command) {
  state_.unsettled_promotions.settle(command.attempts, command.answered);
  return false;
}

bool FleetStateMachine::execute(WithdrawPromotions& command) {
  state_.unsettled_promotions.withdraw(command.attempts);
  return false;
}

bool FleetStateMachine::execute(WithdrawEarlierPromotions& command) {
  state_.unsettled_promotions.withdraw_earlier(command.holder, command.process, command.last_fencing);
  return false;
}

bool FleetStateMachine::execute(CommandBatch& command) {
  bool effective = false;
  for (SingleCommand& single : command.commands) {
    const bool changed = std::visit([this](auto& alternative) { return execute(alternative); }, single);
    effective = effective || changed;
  }
  return effective;
}

void FleetStateMachine::update_cold_limits() {
  const std::vector<GroupRule> groups = state_.groups.all();
  limits_cold_backends_ = std::any_of(groups.begin(), groups.end(),
                                      [](const GroupRule& group) { return group.cold_rate_per_s > 0; });
}

void FleetStateMachine::put_term(const GroupTerm& term) {
  state_.terms.put(term.group, term, next_revision());
  terms_revision_ = next_revision();
}

void FleetStateMachine::put_backend(BackendEntry entry) {
  const BackendEntry* held = state_.backends.find(entry.name);
  if (held != nullptr) {
    if (held->incarnation() != entry.incarnation() || held->group != entry.group)
      record_departure(*held, true);
    members_[held->group].erase(entry.name);
    backend_at_endpoint_.erase(held->endpoint);
  }
  settle_promotions_at(entry);
  state_.departed.record_registration(entry, next_revision());
  index_backend(entry);
  const BackendName name = entry.name;
  state_.ended_start_times.erase(name);
  state_.backends.put(name, std::move(entry), next_revision());
}

void FleetStateMachine::settle_promotions_at(const BackendEntry& entry) {
  for (const GroupName& group : state_.departed.groups()) {
    for (const DepartedMember& departed : state_.departed.of(group)) {
      const BackendName& name = departed.incarnation.name;
      if (departed.endpoint != entry.endpoint || name == entry.name) continue;
      if (state_.backends.find(name) == nullptr) state_.unsettled_promotions.settle_ended(group, name);
    }
  }
}

void FleetStateMachine::record_departure(const BackendEntry& held, bool has_ended) {
  // Nothing is acknowledged before the first primary is known.
  const GroupTerm* term = find_term(held.group);
  if (term == nullptr) return;
  const std::uint64_t led_term = term->is_led_by(held) ? term->term : 0;
  state_.departed.record(held.group,
                         {held.incarnation(), held.endpoint, next_revision(), led_term, has_ended});
}

bool FleetStateMachine::remove_backend(const BackendName& name, bool has_ended) {
  const BackendEntry* held = state_.backends.find(name);
  if (held == nullptr) return false;
  record_departure(*held, has_ended);
  members_[held->group].erase(name);
  backend_at_endpoint_.erase(held->endpoint);
  if (held->has_start_time()) state_.ended_start_times[name] = held->start_time_ms;
  return state_.backends.remove(name, next_revision());
}

void FleetStateMachine::index_backend(const BackendEntry& entry) {
  members_[entry.group].insert(entry.name);
  backend_at_endpoint_[entry.endpoint] = entry.name;
}

bool FleetStateMachine::execute(AdmitProxy& command) {
  AdmittedProxy& proxy = command.proxy;
  const AdmittedProxy* held = state_.proxies.find(proxy.node);
  if (held != nullptr && *held == proxy) return false;
  if (held != nullptr && held->incarnation != proxy.incarnation) state_.proxy_lost_at = next_revision();
  const NodeName node = proxy.node;
  state_.proxies.put(node, std::move(proxy), next_revision());
  proxies_revision_ = next_revision();
  return true;
}

bool FleetStateMachine::execute(ForgetProxy& command) {
  const AdmittedProxy* held = state_.proxies.find(command.node);
  if (held == nullptr || held->incarnation != command.incarnation) return false;
  state_.proxies.remove(command.node, next_revision());
  proxies_revision_ = next_revision();
  state_.proxy_lost_at = next_revision();
  return true;
}

bool FleetStateMachine::execute(CloseGroup& command) {
  const GroupTerm* held = state_.terms.find(command.group);
  if (held == nullptr || !held->open || held->epoch != command.epoch) return false;
  GroupTerm closed = *held;
  closed.open = false;
  ++closed.epoch;
  put_term(closed);
  return true;
}

bool FleetStateMachine::execute(OpenGroup& command) {
  const GroupTerm* held = state_.terms.find(command.group);
  const std::uint64_t epoch = held == nullptr ? 0 : held->epoch;
  if (epoch != command.epoch || (held != nullptr && held->open)) return false;
  if (held != nullptr && command.term < held->term) return false;
  if (state_.unsettled_promotions.excludes(command.group, command.primary)) return false;
  put_term(GroupTerm{command.group, command.term, command.primary, true, epoch + 1, next_revision(),
                     command.primary_start_time_ms});
  state_.term_starts.erase(command.group);
  if (command.start) state_.term_starts.emplace(command.group, *command.start);
  return true;
}

void FleetStateMachine::trim_removed_rows() {
  if (state_.routes.removed_count() <= kMaxRemovedRows &&
      state_.backends.removed_count() <= kMaxRemovedRows &&
      state_.tenants.removed_count() <= kMaxRemovedRows &&
      state_.evacuations.removed_count() <= kMaxRemovedRows)
    return;
  state_.routes.forget_removed(state_.revision);
  state_.groups.forget_removed(state_.revision);
  state_.backends.forget_removed(state_.revision);
  state_.proxies.forget_removed(state_.revision);
  state_.tenants.forget_removed(state_.revision);
  state_.evacuations.forget_removed(state_.revision);
  trim_ended_start_times();
  state_.complete_from = state_.revision;
}

void FleetStateMachine::trim_ended_start_times() {
  std::erase_if(state_.ended_start_times,
                [this](const auto& ended) { return !state_.backends.was_removed(ended.first); });
}

std::string FleetStateMachine::take_snapshot() const {
  State state = state_;
  // As builds before write and read it, unless two routes have the same name.
  std::set<RouteName> names;
  for (const RouteRule& route : state.routes.all()) names.insert(route.name);
  if (names.size() == state.routes.size())
    state.routes.assign_keys([](const RouteRule& route) { return RouteKey(route.name.value); });
  return wire::encode_from(state, wire::format_with_tenants(state.requires_keys));
}

bool FleetStateMachine::restore_snapshot(const std::string& bytes, Reason& reason) {
  auto state = wire::decode<State>(bytes, reason);
  if (!state) return false;
  state_ = std::move(*state);
  // A build before kept routes by name.
  state_.routes.assign_keys([](const RouteRule& route) { return route.key(); });
  proxies_revision_ = state_.revision;
  if (!state_.records_departed) assume_departed();
  members_.clear();
  backend_at_endpoint_.clear();
  for (const BackendEntry& entry : state_.backends.all()) index_backend(entry);
  update_cold_limits();
  changed_.notify_all();
  return true;
}

void FleetStateMachine::assume_departed() {
  state_.records_departed = true;
  for (const GroupTerm& term : state_.terms.all())
    state_.departed.record(term.group, {BackendIncarnation{}, Endpoint{}, state_.revision, 0, true});
}

std::vector<BackendEntry> FleetStateMachine::backends_of(const GroupName& group) const {
  std::vector<BackendEntry> members;
  for (const BackendName& name : members_of(group)) members.push_back(*state_.backends.find(name));
  return members;
}

std::optional<TermStart> FleetStateMachine::term_start(const GroupName& group) const {
  const auto found = state_.term_starts.find(group);
  if (found == state_.term_starts.end()) return std::nullopt;
  return found->second;
}

const BackendEntry* FleetStateMachine::find_backend_at(const Endpoint& endpoint) const {
  const auto found = backend_at_endpoint_.find(endpoint);
  return found == backend_at_endpoint_.end() ? nullptr : find_backend(found->second);
}

const std::set<BackendName>& FleetStateMachine::members_of(const GroupName& group) const {
  static const std::set<BackendName> none;
  const auto found = members_.find(group);
  return found == members_.end() ? none : found->second;
}

std::set<BackendIncarnation> FleetStateMachine::incarnations_of(const GroupName& group) const {
  std::set<BackendIncarnation> members;
  for (const BackendName& name : members_of(group)) members.insert(state_.backends.find(name)->incarnation());
  return members;
}

FleetDelta FleetStateMachine::delta_since(std::uint64_t revision) const {
  FleetDelta delta;
  delta.is_full = revision == 0 || revision < state_.complete_from;
  const std::uint64_t since = delta.is_full ? 0 : revision;
  delta.revision = state_.revision;
  delta.document_version = state_.document_version;
  delta.transaction_idle_ms = state_.transaction_idle_ms;
  delta.routes = state_.routes.changed_since(since);
  delta.groups = state_.groups.changed_since(since);
  delta.backends = state_.backends.changed_since(since);
  delta.terms = state_.terms.changed_since(since);
  delta.proxies = state_.proxies.changed_since(since);
  delta.requires_keys = state_.requires_keys;
  delta.tenants = state_.tenants.changed_since(since);
  delta.evacuations = state_.evacuations.changed_since(since);
  if (delta.is_full) return delta;
  for (const RouteKey& removed : state_.routes.removed_since(since))
    delta.removed_routes.emplace_back(removed.value);
  delta.removed_groups = state_.groups.removed_since(since);
  delta.removed_backends = state_.backends.removed_since(since);
  delta.removed_proxies = state_.proxies.removed_since(since);
  delta.removed_tenants = state_.tenants.removed_since(since);
  delta.ended_evacuations = state_.evacuations.removed_since(since);
  return delta;
}

}  // namespace cairnhollow::registered::registry
