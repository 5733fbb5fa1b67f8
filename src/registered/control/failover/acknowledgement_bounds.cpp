#include "registered/control/failover/acknowledgement_bounds.h"

#include <algorithm>

#include "registered/control/failover/primary_check.h"

namespace cairnhollow::registered::control {

using registry::GroupTerm;

void AcknowledgementBounds::refresh() {
  const std::pair revisions{fleet_.proxy_lost_at(), fleet_.terms_revision()};
  if (!terms_.leads() || covered_at_ == revisions) return;
  bool all_covered = true;
  for (const registry::GroupRule& rule : fleet_.groups()) {
    const auto term = terms_.find(rule.name);
    if (!term || !term->open || cover_lost_proxies(*term)) continue;
    all_covered = false;
    if (running_.size() >= kMaxBoundQueries) break;
    if (running_.insert(rule.name).second) runtime_.spawn("acknowledgement_bound", query_primary(rule.name));
  }
  if (all_covered) covered_at_ = revisions;
}

Awaitable<void> AcknowledgementBounds::query_primary(GroupName group) {
  const auto term = terms_.find(group);
  const registry::BackendEntry* primary = term ? fleet_.find_backend(term->primary) : nullptr;
  bool recorded = false;
  if (primary != nullptr && term->is_led_by(*primary)) {
    const registry::BackendEntry entry = *primary;
    const std::uint64_t revision = fleet_.revision();
    Reason reason;
    const auto status = co_await prober_.query(entry, runtime_.now() + kStatusTimeout, reason);
    if (is_primary_of(status, *term)) {
      const Bound* held = find(*term);
      const Position position =
          held == nullptr ? status->received : std::max(held->position, status->received);
      bounds_[group] = Bound{term->term, {term->primary, term->primary_start_time_ms}, position, revision};
      recorded = true;
    }
  }
  if (!recorded) co_await runtime_.sleep_for(kFailoverRetryDelay);
  running_.erase(group);
}

const AcknowledgementBounds::Bound* AcknowledgementBounds::find(const GroupTerm& term) const {
  const auto found = bounds_.find(term.group);
  if (found == bounds_.end()) return nullptr;
  const Bound& bound = found->second;
  const registry::BackendIncarnation primary{term.primary, term.primary_start_time_ms};
  return bound.term == term.term && bound.primary == primary ? &bound : nullptr;
}

bool AcknowledgementBounds::cover_lost_proxies(const GroupTerm& term) const {
  if (fleet_.knows_all_acknowledgers(term)) return true;
  const Bound* bound = find(term);
  return bound != nullptr && fleet_.proxy_lost_at() <= bound->revision;
}

std::optional<Position> AcknowledgementBounds::bound_of(const GroupTerm& term) const {
  if (fleet_.knows_all_acknowledgers(term)) return std::nullopt;
  const Bound* bound = find(term);
  if (bound == nullptr) return std::nullopt;
  return bound->position;
}

}  // namespace cairnhollow::registered::control
