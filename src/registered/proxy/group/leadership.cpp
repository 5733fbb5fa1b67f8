#include "registered/proxy/group/leadership.h"

namespace cairnhollow::registered::proxy {

TermChange Leadership::set_term(const registry::GroupTerm& term) {
  TermChange change;
  change.epoch_ended = term_.open && (!term.open || term.epoch != term_.epoch);
  change.primary_changed = term.term != term_.term || term.primary != term_.primary ||
                           term.primary_start_time_ms != term_.primary_start_time_ms;
  if (term_.open && !term.open) closed_at_ = runtime_.now();
  term_ = term;
  if (change.epoch_ended) member_lease_until_ = TimePoint{};
  return change;
}

void Leadership::extend_member_lease(std::uint64_t epoch, std::uint64_t membership, TimePoint until) {
  if (!term_.open || term_.epoch != epoch || membership_ != membership) return;
  member_lease_until_ = std::max(member_lease_until_, until);
  changed_.notify_all();
}

}  // namespace cairnhollow::registered::proxy
