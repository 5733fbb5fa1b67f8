#include "declared/routing/choice.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "declared/routing/hash.h"

namespace cairnhollow::declared::routing {

namespace {

constexpr std::string_view kStep = "choose_backend";

Reason make_reason(ReasonCode code, const std::string& peer, std::string detail) {
  return Reason{code, std::string(kStep), peer, std::move(detail)};
}

/// Order of preference; lower values are preferred.
enum class ReplicaRank : std::uint8_t {
  kUpToDateInZone,
  kUpToDateInOtherZone,
  kExpectedWithoutHold,
  kExpectedAfterHold
};

struct RankedReplica {
  const BackendView* backend = nullptr;
  ReplicaRank rank = ReplicaRank::kExpectedWithoutHold;
  Duration hold{0};  ///< delay before the read is sent to the replica
  std::uint32_t in_flight = 0;
  std::uint64_t weight = 0;
};

bool is_better(const RankedReplica& left, const RankedReplica& right) {
  if (left.rank != right.rank) return left.rank < right.rank;
  if (left.hold != right.hold) return left.hold < right.hold;
  if (left.in_flight != right.in_flight) return left.in_flight < right.in_flight;
  return left.weight > right.weight;
}

double in_milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// Evaluates one statement: collects the candidates and the reasons why other backends were skipped.
class Choice {
 public:
  Choice(const Request& request, const GroupView& group, const config::RouteSpec& route,
         const BackendEstimates& estimates, const ChoiceSettings& settings, TimePoint now)
      : request_(request),
        group_(group),
        route_(route),
        estimates_(estimates),
        settings_(settings),
        now_(now) {}

  void run(Decision& decision) {
    if (replicas_may_serve()) {
      rank_replicas(decision);
      if (decision.candidates.empty()) decision.primary_read = closest_cause_;
    } else {
      pass_over_replicas(decision);
    }
    add_primary(decision);
    if (!decision.candidates.empty()) return;
    const bool no_primary = group_.primary.empty() || find_backend(group_, group_.primary) == nullptr;
    decision.refusal = make_reason(no_primary ? ReasonCode::kNoPrimary : ReasonCode::kNoBackend,
                                   group_.name.value, "no backend of the group can serve the statement");
  }

 private:
  [[nodiscard]] bool replicas_may_serve() const {
    return request_.kind == backend::StatementKind::kRead && !request_.in_transaction &&
           route_.replica_reads && request_.session_position.has_value();
  }

  [[nodiscard]] std::string primary_only_detail() const {
    if (request_.in_transaction) return "transactions run on the primary";
    if (request_.kind == backend::StatementKind::kWrite) return "writes run on the primary";
    if (!route_.replica_reads) return "the route sends reads to the primary";
    return "without a session token reads are served by the primary";
  }

  [[nodiscard]] PrimaryReadCause primary_only_cause() const {
    const bool is_single_read = request_.kind == backend::StatementKind::kRead && !request_.in_transaction;
    if (!is_single_read) return PrimaryReadCause::kNone;
    return route_.replica_reads ? PrimaryReadCause::kNoToken : PrimaryReadCause::kRoute;
  }

  void pass_over_replicas(Decision& decision) const {
    decision.primary_read = primary_only_cause();
    for (const auto& member : group_.members) {
      if (member.name == group_.primary) continue;
      decision.passed_over.push_back(
          {member.name, make_reason(ReasonCode::kNotPrimary, member.name.value, primary_only_detail())});
    }
  }

  void rank_replicas(Decision& decision) {
    std::vector<RankedReplica> ranked;
    for (const auto& member : group_.members) {
      if (member.name == group_.primary) continue;
      RankedReplica replica{&member};
      Reason reason;
      if (!is_eligible(member, reason) || !rank(replica, reason)) {
        decision.passed_over.push_back({member.name, std::move(reason)});
        continue;
      }
      replica.in_flight = estimates_.load.in_flight(member.ordinal);
      replica.weight = rendezvous_weight(request_.partition_key, member.name.value);
      ranked.push_back(replica);
    }
    std::stable_sort(ranked.begin(), ranked.end(), is_better);
    if (!ranked.empty()) decision.hold = ranked.front().hold;
    for (const auto& replica : ranked) {
      decision.candidates.push_back({replica.backend->name, replica.backend->endpoint, false});
    }
  }

  /// Checks the conditions that do not depend on the session's position.
  bool is_eligible(const BackendView& member, Reason& reason) {
    if (member.leaving) {
      reason = make_reason(ReasonCode::kDraining, member.name.value, "the backend is leaving");
      return false;
    }
    if (!route_.replica_selector.matches(member.labels)) {
      reason = make_reason(ReasonCode::kNoRoute, member.name.value, "the route does not select this replica");
      return false;
    }
    if (estimates_.load.is_held_off(member.ordinal, now_)) {
      reason = make_reason(ReasonCode::kUnreachable, member.name.value,
                           "the backend failed recently and is held off from reads");
      record_cause(PrimaryReadCause::kUnreachable);
      return false;
    }
    return true;
  }

  /// Ranks the replica. Returns false with the reason if its data is too old for the route or the session.
  bool rank(RankedReplica& replica, Reason& reason) {
    const auto& member = *replica.backend;
    const Position applied = estimates_.freshness.applied(member.ordinal);
    if (!is_fresh_enough(member, applied, reason)) {
      record_cause(PrimaryReadCause::kTooOld);
      return false;
    }
    const Position required = *request_.session_position;
    if (applied >= required) {
      const bool in_zone = member.zone == settings_.zone;
      replica.rank = in_zone ? ReplicaRank::kUpToDateInZone : ReplicaRank::kUpToDateInOtherZone;
      return true;
    }
    if (can_wait_for(replica, required)) return true;
    record_cause(PrimaryReadCause::kPosition);
    reason = make_reason(ReasonCode::kTooStale, member.name.value,
                         fmt::format("replica has applied {}.{}, but the session has seen {}.{}",
                                     applied.term, applied.index, required.term, required.index));
    return false;
  }

  bool is_fresh_enough(const BackendView& member, Position applied, Reason& reason) const {
    const auto age = estimates_.freshness.age_of(group_.name, applied, now_);
    const Duration limit = std::chrono::milliseconds(route_.max_staleness_milliseconds);
    if (age && *age <= limit) return true;
    const std::string age_text = age ? fmt::format("{:.0f} ms", in_milliseconds(*age)) : "unknown";
    reason =
        make_reason(ReasonCode::kTooStale, member.name.value,
                    fmt::format("data age {}, but the route allows {} ms", age_text, in_milliseconds(limit)));
    return false;
  }

  /// Whether the replica is expected to reach the position soon enough, counting both the hold at this proxy
  /// and the wait at the replica.
  bool can_wait_for(RankedReplica& replica, Position required) const {
    const auto lag = estimates_.freshness.estimated_lag(replica.backend->ordinal);
    if (!lag) return false;
    const TimePoint first_choice_at = request_.first_choice_at.value_or(now_);
    const auto first_seen = estimates_.freshness.first_seen(group_.name, required).value_or(first_choice_at);
    const Duration remaining = first_seen + *lag - now_;
    // Sends the read so that the expected time falls in the middle of the replica's wait: the lag estimate
    // may be too high or too low.
    const Duration wanted = std::max(Duration(0), remaining - settings_.replica_wait / 2);
    const Duration limit =
        std::min<Duration>(request_.hold_limit, std::chrono::milliseconds(route_.replica_wait_milliseconds));
    const Duration allowed = std::max(Duration(0), first_choice_at + limit - now_);
    if (wanted > allowed && remaining > allowed + settings_.replica_wait) return false;
    replica.hold = std::min(wanted, allowed);
    replica.rank =
        replica.hold > Duration(0) ? ReplicaRank::kExpectedAfterHold : ReplicaRank::kExpectedWithoutHold;
    return true;
  }

  void add_primary(Decision& decision) const {
    const auto* primary = group_.primary.empty() ? nullptr : find_backend(group_, group_.primary);
    if (primary == nullptr) return;
    if (primary->leaving) {
      decision.passed_over.push_back(
          {primary->name, make_reason(ReasonCode::kDraining, primary->name.value, "the backend is leaving")});
      return;
    }
    decision.candidates.push_back({primary->name, primary->endpoint, true});
  }

  void record_cause(PrimaryReadCause cause) { closest_cause_ = std::max(closest_cause_, cause); }

  const Request& request_;
  const GroupView& group_;
  const config::RouteSpec& route_;
  const BackendEstimates& estimates_;
  const ChoiceSettings& settings_;
  TimePoint now_;
  PrimaryReadCause closest_cause_ = PrimaryReadCause::kNoReplica;
};

}  // namespace

std::string_view primary_read_cause_name(PrimaryReadCause cause) {
  static constexpr std::array<std::string_view, kPrimaryReadCauses> kNames = {
      "none",    "route",    "no_token",      "no_replica",   "unreachable",
      "too_old", "position", "replica_stale", "replica_busy", "replica_failed"};
  return kNames.at(static_cast<std::size_t>(cause));
}

const RouteView* find_route(const RoutingView& view, const Request& request) {
  static const RouteList none;
  const auto& table = *view.routes;
  const auto* indexed = table.by_database.find(request.database.value);
  const auto& named = indexed == nullptr ? none : (*indexed)->routes;
  auto next_named = named.begin();
  auto next_any = table.any_database.begin();
  while (next_named != named.end() || next_any != table.any_database.end()) {
    const bool named_first =
        next_any == table.any_database.end() ||
        (next_named != named.end() && RouteOrder::key_of(*next_named) < RouteOrder::key_of(*next_any));
    const auto& route = named_first ? *next_named++ : *next_any++;
    if (route->spec.statement_selector.matches(request.labels)) return route.get();
  }
  return nullptr;
}

GroupPointer find_group(const RoutingView& view, const RouteView& route, const std::string& partition_key) {
  const std::uint32_t slot = hash_slot(partition_key);
  const auto next_entry = std::upper_bound(
      route.slots.begin(), route.slots.end(), slot,
      [](std::uint32_t wanted, const SlotEntry& entry) { return wanted < entry.slots.first; });
  if (next_entry == route.slots.begin()) return nullptr;
  const auto& entry = *std::prev(next_entry);
  return slot <= entry.slots.last ? find_group(view, entry.group) : nullptr;
}

GroupPointer find_group(const RoutingView& view, const Request& request) {
  const auto* route = find_route(view, request);
  return route == nullptr ? nullptr : find_group(view, *route, request.partition_key);
}

GroupPointer find_group(const RoutingView& view, const GroupName& name) {
  const auto* found = view.groups.find(name);
  return found == nullptr ? nullptr : *found;
}

const BackendView* find_backend(const GroupView& group, const BackendName& name) {
  for (const auto& member : group.members) {
    if (member.name == name) return &member;
  }
  return nullptr;
}

Decision choose(const Request& request, const RoutingView& view, const BackendEstimates& estimates,
                const ChoiceSettings& settings, TimePoint now) {
  Decision decision;
  decision.domain = view.domain;
  const auto* route = find_route(view, request);
  if (route == nullptr) {
    decision.refusal = make_reason(ReasonCode::kNoRoute, "", "no route matches the statement's labels");
    return decision;
  }
  decision.route = route->name;
  const auto group = find_group(view, *route, request.partition_key);
  if (group == nullptr) {
    decision.refusal =
        make_reason(ReasonCode::kNoRoute, "", "no group of the route holds the partition key's hash slot");
    return decision;
  }
  decision.group = group->name;
  decision.term = group->term;
  Choice(request, *group, route->spec, estimates, settings, now).run(decision);
  return decision;
}

}  // namespace cairnhollow::declared::routing
