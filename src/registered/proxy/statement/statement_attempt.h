// The bookkeeping of one statement that this proxy runs itself, over all its attempts.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "registered/placement/attempt_outcome.h"
#include "registered/placement/placement.h"
#include "registered/proxy/statement/statement_request.h"

namespace cairnhollow::registered::proxy {

/// One statement on its way, over all its attempts.
struct StatementAttempt {
  explicit StatementAttempt(StatementRequest run_order)
      : order(std::move(run_order)), progress(order.progress()) {}

  StatementRequest order;
  placement::StatementProgress progress;
  std::set<BackendName> excluded;
  ReadNeed need;
  Reason reason;      ///< of the last failure
  Unplaced unplaced;  ///< why this proxy refuses it
  RunResult result;
  /// Not empty: it has waited, and is to be passed on to these.
  std::vector<subset::ProxyPointer> moved_to;

  // Of the attempt under way.
  std::shared_ptr<BackendState> backend;
  std::shared_ptr<StatefulLink> link;
  std::uint64_t epoch = 0;
  bool at_primary = false;
  bool needs_primary = false;           ///< the answer counts only while the primary of `epoch` may be used
  std::optional<TimePoint> cold_token;  ///< not used yet, and of use until then
  placement::SendDecision pre_send_check;
  TimePoint sent_at{};
  runtime::SendState sent = runtime::SendState::kNotSent;

  // Where the time went, over all attempts.
  Duration at_gate{0};
  Duration at_pool{0};
  Duration at_backend{0};
  std::string path;  ///< backends tried and how each attempt ended

  [[nodiscard]] PlacementRequest question() const { return {&need, &excluded, &order.allowed}; }
  /// The transaction that it has opened.
  [[nodiscard]] PinnedLink pinned() const {
    return PinnedLink{backend, link, std::nullopt, epoch, at_primary};
  }
  /// What its end is judged by; `may_use_primary`: that of `epoch`.
  [[nodiscard]] placement::AttemptFacts facts(bool may_use_primary) const {
    placement::AttemptFacts facts;
    facts.reads = order.reads();
    facts.repeatable = !order.keeps_changes();
    facts.needs_primary = needs_primary;
    facts.primary_only = need.primary_only;
    facts.at_primary = at_primary;
    facts.term_is_current = order.group->term().epoch == epoch;
    facts.may_use_primary = may_use_primary;
    facts.attempts = progress.attempts;
    return facts;
  }
};

}  // namespace cairnhollow::registered::proxy
