#include "registered/control/failover/promotion_steps.h"

namespace cairnhollow::registered::control {

using registry::GroupTerm;

Awaitable<bool> Promotion::order(GroupTerm closed, registry::BackendIncarnation chosen) {
  const TimePoint barrier_started_at = runtime_.now();
  const bool confirmed = co_await terms_.complete_read_barrier();
  if (!confirmed || !terms_.leads() || runtime_.now() - barrier_started_at > kMaxReadBarrierAge)
    co_return false;
  if (!terms_.is_still_closed(closed)) co_return false;
  const registry::BackendEntry* entry = fleet_.find_backend(chosen.name);
  if (entry == nullptr || entry->incarnation() != chosen) co_return false;
  registry::PromotionOrder order{closed.group, chosen.name, node_, consensus_.term()};
  const TimePoint deadline = runtime_.now() + kPromotionCallTimeout;
  Reason reason;
  const auto channel = co_await caller_.connect(deadline, reason);
  log("promotion_sent", order, closed.epoch, barrier_started_at, channel ? "" : "not sent: no connection");
  bool taken = false;
  if (channel) {
    const auto outcome = co_await channel->request(order, deadline, reason);
    taken = outcome == registry::PromotionOutcome::kAccepted;
  }
  log("promotion_ended", order, closed.epoch, barrier_started_at,
      taken ? "accepted by the platform" : reason.to_string());
  // Without a definite answer the promotion may have been accepted; the backend's status will show it.
  const bool refused =
      !taken && (reason.code == ReasonCode::kConflict || reason.code == ReasonCode::kOverloaded);
  if (refused) co_await runtime_.sleep_for(kFailoverRetryDelay);
  co_return !refused;
}

void Promotion::log(const char* event, const registry::PromotionOrder& order, std::uint64_t epoch,
                    TimePoint barrier_started_at, const std::string& why) {
  const auto barrier_age =
      std::chrono::duration_cast<std::chrono::milliseconds>(runtime_.now() - barrier_started_at);
  runtime_.logger().log(runtime::LogLevel::kInfo, event,
                        {{"group", order.group.value},
                         {"primary", order.backend.value},
                         {"epoch", std::to_string(epoch)},
                         {"fencing", std::to_string(order.fencing)},
                         {"consensus_term", std::to_string(consensus_.term())},
                         {"barrier_age_ms", std::to_string(barrier_age.count())},
                         {"why", why}});
}

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
