#include "registered/placement/backend_choice.h"

#include <algorithm>

namespace cairnhollow::registered::placement {

namespace {

using Backends = std::span<const BackendFacts>;

bool leads(const BackendFacts& backend) {
  return may_lead(backend) && rejection_of_new_work(backend) == RejectionReason::kNone;
}

/// Whether the backend may accept the statement after a short wait.
bool may_accept_soon(const BackendFacts& backend) {
  return rejection_of_new_work(backend) == RejectionReason::kNone && (!backend.leaving || may_lead(backend));
}

/// Ranks the reasons that are final for now: the higher the rank, the sooner the reason is expected to end.
/// 0: not final.
int finality_rank(RejectionReason rejection) {
  if (rejection == RejectionReason::kColdLimit) return 3;
  if (rejection == RejectionReason::kZoneEvacuated) return 2;
  return rejection == RejectionReason::kOutsideRegions ? 1 : 0;
}

/// Sets the rejection of a `choice` without a backend if no backend accepts new work: the reason expected to
/// end first, with its shortest retry delay.
void set_final_rejection(BackendChoice& choice, Backends backends) {
  for (const BackendFacts& backend : backends) {
    const RejectionReason rejection = rejection_of_new_work(backend);
    const bool is_first = finality_rank(choice.rejection) < finality_rank(rejection);
    const bool is_sooner = choice.rejection == rejection && backend.retry_after < choice.retry_after;
    if (rejection == RejectionReason::kNone || (!is_first && !is_sooner)) continue;
    choice.rejection = rejection;
    choice.retry_after = backend.retry_after;
  }
  choice.is_final = finality_rank(choice.rejection) > 0;
}

BackendChoice choose_primary(Backends backends) {
  BackendChoice choice;
  choice.rejection = RejectionReason::kNoBackend;
  for (std::size_t place = 0; place < backends.size(); ++place) {
    const BackendFacts& backend = backends[place];
    if (!backend.is_primary) continue;
    choice.rejection = rejection_as_primary(backend);
    if (choice.rejection == RejectionReason::kNone) choice.backend = place;
    choice.is_final = finality_rank(choice.rejection) > 0;
    if (choice.is_final) choice.retry_after = backend.retry_after;
  }
  return choice;
}

BackendChoice refuse_read(Backends backends, bool has_leader) {
  BackendChoice choice;
  if (std::none_of(backends.begin(), backends.end(), may_accept_soon)) set_final_rejection(choice, backends);
  if (choice.is_final) return choice;
  choice.rejection = RejectionReason::kNoBackend;
  for (const BackendFacts& backend : backends) {
    const bool nearer = choice.rejection == RejectionReason::kNoBackend || may_accept_soon(backend);
    if (nearer) choice.rejection = rejection_of_read(backend, has_leader);
  }
  return choice;
}

BackendChoice choose_reader(Backends backends) {
  const auto leader = std::find_if(backends.begin(), backends.end(), leads);
  const bool has_leader = leader != backends.end();
  std::optional<std::size_t> best;
  std::optional<std::size_t> last_choice;
  for (std::size_t place = 0; place < backends.size(); ++place) {
    const BackendFacts& backend = backends[place];
    if (rejection_of_read(backend, has_leader) != RejectionReason::kNone) continue;
    auto& slot = backend.avoided || backend.refused ? last_choice : best;
    if (!slot || backend.cost < backends[*slot].cost) slot = place;
  }
  BackendChoice choice;
  choice.backend = best;
  if (!best && has_leader && !leader->tried)
    choice.backend = static_cast<std::size_t>(leader - backends.begin());
  if (!choice.backend) choice.backend = last_choice;
  return choice.backend ? choice : refuse_read(backends, has_leader);
}

}  // namespace

RejectionReason rejection_of_new_work(const BackendFacts& backend) {
  if (!backend.region_allowed) return RejectionReason::kOutsideRegions;
  if (backend.zone_evacuated) return RejectionReason::kZoneEvacuated;
  return backend.cold_limit_reached ? RejectionReason::kColdLimit : RejectionReason::kNone;
}

bool may_lead(const BackendFacts& backend) {
  return backend.is_primary && !backend.of_closed_term && !backend.leaving_grace_expired;
}

bool may_be_warmed(const BackendFacts& backend) {
  return !backend.leaving && !backend.avoided && rejection_of_new_work(backend) == RejectionReason::kNone;
}

RejectionReason rejection_of_read(const BackendFacts& backend, bool has_leader) {
  if (backend.of_closed_term) return RejectionReason::kGroupClosed;
  const RejectionReason closed = rejection_of_new_work(backend);
  if (closed != RejectionReason::kNone) return closed;
  if (backend.leaving) return RejectionReason::kLeaving;
  if (backend.tried) return RejectionReason::kTried;
  return backend.lags && has_leader ? RejectionReason::kLags : RejectionReason::kNone;
}

RejectionReason rejection_as_primary(const BackendFacts& backend) {
  if (backend.of_closed_term) return RejectionReason::kGroupClosed;
  const RejectionReason closed = rejection_of_new_work(backend);
  if (closed != RejectionReason::kNone) return closed;
  if (backend.leaving_grace_expired) return RejectionReason::kLeaving;
  return backend.tried ? RejectionReason::kTried : RejectionReason::kNone;
}

RejectionReason rejection_at(const BackendFacts& backend, bool primary_only, Backends all) {
  if (primary_only) return backend.is_primary ? rejection_as_primary(backend) : RejectionReason::kNone;
  return rejection_of_read(backend, std::any_of(all.begin(), all.end(), leads));
}

BackendChoice choose_backend(bool primary_only, Backends backends) {
  return primary_only ? choose_primary(backends) : choose_reader(backends);
}

bool has_other_reader(bool primary_only, Backends backends) {
  const BackendChoice other = choose_backend(primary_only, backends);
  return other.backend && !backends[*other.backend].avoided && !backends[*other.backend].lags;
}

}  // namespace cairnhollow::registered::placement
