#include "registered/control/failover/promotion_steps.h"

namespace cairnhollow::registered::control {

using registry::GroupTerm;

Awaitable<std::optional<std::uint64_t>> Promotion::wait_until_leading(GroupTerm closed,
                                                                      MemberFinding chosen) {
  const TimePoint give_up_at = runtime_.now() + kPromotionTimeout;
  Reason reason;
  while (terms_.leads() && runtime_.now() < give_up_at) {
    const registry::BackendEntry* entry = fleet_.find_backend(chosen.entry.name);
    if (entry == nullptr || entry->incarnation() != chosen.entry.incarnation()) co_return std::nullopt;
    const registry::BackendEntry queried = *entry;
    const auto status = co_await prober_.query(queried, runtime_.now() + kStatusTimeout, reason);
    if (status && status->is_primary && status->term > closed.term) {
      requests_.record_effect(closed.group, chosen.entry.name);
      const bool has_log = !queried.has_start_time() || status->received >= chosen.status->received;
      if (has_log) co_return status->term;
      closed.primary = chosen.entry.name;
      terms_.log("promoted_without_its_log", closed,
                 "it restarted before it became primary and lost part of its log; choosing again");
      co_return std::nullopt;
    }
    co_await runtime_.sleep_for(kPromotionPollInterval);
  }
  co_return std::nullopt;
}

Awaitable<void> Promotion::step_down(GroupName group, BackendName old_primary, std::uint64_t term) {
  const TimePoint give_up_at = runtime_.now() + kDemoteTimeout;
  while (terms_.leads() && runtime_.now() < give_up_at) {
    const auto current = terms_.find(group);
    const registry::BackendEntry* entry = fleet_.find_backend(old_primary);
    if (entry == nullptr || !current || current->term != term) co_return;
    const registry::BackendEntry queried = *entry;
    Reason reason;
    const auto status = co_await prober_.demote(queried, term, runtime_.now() + kStatusTimeout, reason);
    if (status && !status->is_primary) co_return;
    co_await runtime_.sleep_for(kDemoteInterval);
  }
}

}  // namespace cairnhollow::registered::control
