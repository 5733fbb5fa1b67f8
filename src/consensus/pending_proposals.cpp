#include "consensus/pending_proposals.h"

namespace cairnhollow::consensus {

Awaitable<std::optional<std::uint64_t>> PendingProposals::wait(std::uint64_t index, std::uint64_t term,
                                                               TimePoint deadline, Reason& reason) {
  auto proposal = std::make_shared<Proposal>(runtime_);
  proposal->term = term;
  pending_.insert_or_assign(index, proposal);
  bool in_time = true;
  while (!proposal->done && in_time) in_time = co_await proposal->changed.wait_until(deadline);
  if (proposal->done && !proposal->reason.failed()) co_return index;
  if (proposal->done) {
    reason = proposal->reason;
    co_return std::nullopt;
  }
  const auto entry = pending_.find(index);
  if (entry != pending_.end() && entry->second == proposal) pending_.erase(entry);
  reason =
      Reason{ReasonCode::kOutcomeUnknown, "propose", "", "the deadline passed before the entry was applied"};
  co_return std::nullopt;
}

void PendingProposals::applied(std::uint64_t applied_index, const Log& log) {
  while (!pending_.empty() && pending_.begin()->first <= applied_index) {
    const auto index = pending_.begin()->first;
    const auto proposal = pending_.begin()->second;
    pending_.erase(pending_.begin());
    const auto term = log.term_at(index);
    if (!term) {
      proposal->reason = Reason{ReasonCode::kOutcomeUnknown, "propose", "",
                                "a snapshot covers the entry, so its term cannot be checked"};
    } else if (*term != proposal->term) {
      proposal->reason = Reason{ReasonCode::kNotLeader, "propose", "",
                                "the entry was overwritten by another leader's entry"};
    }
    proposal->done = true;
    proposal->changed.notify_all();
  }
}

void PendingProposals::fail_all(const Reason& reason) {
  for (auto& [index, proposal] : pending_) {
    proposal->reason = reason;
    proposal->done = true;
    proposal->changed.notify_all();
  }
  pending_.clear();
}

}  // namespace cairnhollow::consensus
