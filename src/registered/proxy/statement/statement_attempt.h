// State of one statement that this proxy runs itself, across all of its attempts.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "registered/placement/attempt_outcome.h"
#include "registered/placement/placement.h"
#include "registered/proxy/statement/statement_request.h"

namespace cairnhollow::registered::proxy {

struct StatementAttempt {
  explicit StatementAttempt(StatementRequest statement_request)
      : request(std::move(statement_request)), progress(request.progress()) {}

  StatementRequest request;
  placement::StatementProgress progress;
  std::set<BackendName> excluded;
  ReadNeed need;
  Reason reason;             ///< the last failure
  StatementRefusal refusal;  ///< why the statement is refused, if it is
  RunResult result;
  /// If not empty: after a wait, the statement is to be forwarded to these proxies.
  std::vector<subset::ProxyPointer> reroute_targets;

  // Current attempt.
  std::shared_ptr<BackendState> backend;
  std::shared_ptr<StatefulLink> link;
  registry::GroupEpoch epoch;
  bool at_primary = false;
  bool needs_primary = false;           ///< the answer is valid only while the primary of `epoch` may be used
  std::optional<TimePoint> cold_token;  ///< expiry of a token that is not used yet
  scheduling::SlotRequest slot;         ///< what the gate was told
  GateOutcome gate;                     ///< what it decided
  TimePoint admitted_at{};
  bool lacks_link = false;   ///< all links were in use, and none could be opened
  bool had_no_slot = false;  ///< the gate of the last backend tried refused it
  placement::SendDecision pre_send_check;
  TimePoint sent_at{};
  std::optional<Position> shown_before{};  ///< by the group's primary, when the statement was sent
  runtime::SendState sent = runtime::SendState::kNotSent;

  // Time spent per phase, and the backends used, over all attempts.
  Duration gate_time{0};
  Duration pool_time{0};
  Duration backend_time{0};
  std::string tried_backends;  ///< names of the backends tried, each followed by a space

  [[nodiscard]] PlacementRequest placement_request() const { return {&need, &excluded, &request.allowed}; }
  /// The transaction that the statement has opened.
  [[nodiscard]] PinnedLink pinned() const {
    auto scope = std::make_shared<const StatementScope>(request);
    return PinnedLink{backend, link, std::nullopt, std::move(scope), epoch, at_primary};
  }
  /// Input for attempt_outcome.h. `may_use_primary`: the primary of `epoch` may still be used.
  [[nodiscard]] placement::AttemptFacts facts(bool may_use_primary) const {
    placement::AttemptFacts facts;
    facts.reads = request.reads();
    facts.repeatable = !request.makes_durable_changes();
    facts.needs_primary = needs_primary;
    facts.primary_only = need.primary_only;
    facts.at_primary = at_primary;
    facts.term_is_current = request.group->epoch() == epoch;
    facts.may_use_primary = may_use_primary;
    facts.attempts = progress.attempts;
    return facts;
  }
};

}  // namespace cairnhollow::registered::proxy
