// A statement to be run, and its result.
#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "registered/locality/permitted_regions.h"
#include "registered/placement/rejection_reason.h"
#include "registered/placement/statement_progress.h"
#include "registered/proxy/forwarding/forwarder.h"
#include "registered/proxy/group/group_access.h"

namespace cairnhollow::registered::proxy {

/// What a statement runs under. A transaction keeps the scope that its first statement was placed under.
struct StatementScope {
  registry::RouteRule route;
  std::shared_ptr<GroupAccess> group;
  ApiKey key;                          ///< the caller's API key; empty if the route requires none
  TenantName tenant;                   ///< tenant that the key proved
  locality::PermittedRegions allowed;  ///< regions in which it may run
  SessionCommit committed;             ///< the session's last commit in the group
};

/// A statement without its scope. Further statements of a transaction carry nothing else, so that they can't
/// be checked against another group, route or tenant than those of the transaction.
struct StatementContent {
  std::string id;
  std::string text;                       ///< sent unchanged, unless a prepared statement is executed
  std::optional<PreparedShape> prepared;  ///< prepared statement to execute with `argument`
  std::string argument;
  bool writes = false;
  SessionValues values;
  TimePoint arrived{};
  TimePoint deadline{};
  /// True for the first statement of a transaction, or for the commit of a transaction without statements.
  bool opens_transaction = false;
  bool read_only_transaction = false;
  bool is_forwarded = false;  ///< by another proxy: run here or refused, never forwarded again
  int reroute_count = 0;      ///< number of times it was forwarded after a wait here
  int forwarding_rounds = 0;  ///< rounds in which none of the proxies that it was forwarded to accepted it
  Duration waited_before{0};  ///< before `arrived`: while its session opened, or at another proxy
  /// A backend may already have run it; a rerun needs another token of the tenant's rate limit.
  bool may_have_run = false;
};

/// A statement with everything needed to run it.
struct StatementRequest : StatementScope, StatementContent {
  /// Whether the statement, or the transaction that it opens, is read-only.
  [[nodiscard]] bool reads() const { return opens_transaction ? read_only_transaction : !writes; }
  /// Whether its success alone makes changes durable: a write outside a transaction, which may have run if
  /// its answer is lost. Changes by a transaction's first statement are rolled back with the transaction.
  [[nodiscard]] bool makes_durable_changes() const { return writes && !opens_transaction; }
  /// Whether a sufficiently up-to-date replica may run it.
  [[nodiscard]] bool may_use_replicas() const {
    return reads() && route.reads != registry::ReadPolicy::kPrimary;
  }
  /// The progress before the first attempt.
  [[nodiscard]] placement::StatementProgress progress() const {
    return {arrived, deadline,      std::chrono::milliseconds(route.target_latency_ms),   0, reroute_count,
            false,   waited_before, group->run_time.value() + placement::kLinkOpeningTime};
  }
};

/// A transaction that is open through another proxy.
struct RemotePin {
  std::shared_ptr<ForwardConnection> connection;
  std::uint64_t pin = 0;
  GroupName group;  ///< in which it is open, by the other proxy's document
};

/// Where a transaction is open: a link reserved for it until the link is released, or another proxy.
struct PinnedLink {
  std::shared_ptr<BackendState> backend;  ///< null if `remote` is set
  std::shared_ptr<StatefulLink> link;     ///< null if `remote` is set
  std::optional<RemotePin> remote;
  std::shared_ptr<const StatementScope> scope;  ///< never null
  registry::GroupEpoch epoch;                   ///< when it was opened; unused if `remote` is set
  bool at_primary = false;  ///< its answers are valid only while the primary of `epoch` may be used
  /// The group whose log the answers' positions belong to.
  [[nodiscard]] const GroupName& group() const { return remote ? remote->group : scope->group->name; }
};

struct RunResult {
  Answer answer;
  std::optional<PinnedLink> pinned;  ///< set if a transaction was opened: where
  ServedBy served_by = ServedBy::kProxy;
  GroupName group;           ///< that ran it, according to the document of the proxy that ran it
  bool nothing_run = false;  ///< certainly no backend has run it, in any attempt
};

/// Steps at which a statement is refused without a failure whose reason names its own step.
inline constexpr const char* kPlaceStep = "place";
inline constexpr const char* kForwardStep = "forward";
inline constexpr const char* kRunStep = "run_statement";
inline constexpr const char* kTransactionStep = "continue_transaction";

/// Why a statement was refused, for the log.
struct StatementRefusal {
  placement::RejectionReason cause = placement::RejectionReason::kNone;
  const char* step = kPlaceStep;
  Duration retry_after{0};
  std::string passed_over{};  ///< the rejected backends of the group as "name:reason", separated by spaces
  std::optional<GateOutcome> gate = std::nullopt;  ///< set if a backend's gate refused it last
};

}  // namespace cairnhollow::registered::proxy
