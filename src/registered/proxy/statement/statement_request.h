// One statement on its way through a proxy, and what came of it.
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

/// A statement with what it needs beside its text.
struct StatementRequest {
  registry::RouteRule route;
  std::shared_ptr<GroupAccess> group;
  ApiKey key;         ///< of the caller; empty where none is asked for
  TenantName tenant;  ///< that the key proved when the statement came
  /// Where it may go. A transaction's are decided when it begins.
  locality::PermittedRegions allowed;
  std::string id;
  std::string text;                       ///< passed on unchanged, unless something prepared is executed
  std::optional<PreparedShape> prepared;  ///< executed with `argument`
  std::string argument;
  bool writes = false;
  SessionValues values;
  SessionCommit committed;  ///< the session's own
  TimePoint arrived{};
  TimePoint deadline{};
  /// Set for the first statement of a transaction, or for a commit without any.
  bool opens_transaction = false;
  bool read_only_transaction = false;
  bool is_forwarded = false;  ///< by another proxy: it is run here or refused
  int rerouted = 0;           ///< how often it was passed on after it had waited here
  /// A backend may have run it already: running it once more takes a token of its own.
  bool may_have_run = false;
  /// It, or the transaction that it opens, changes nothing.
  [[nodiscard]] bool reads() const { return opens_transaction ? read_only_transaction : !writes; }
  /// Its success alone leaves something: a write of its own, which may have run when its answer is lost. What
  /// a transaction's first statement did is gone with the transaction.
  [[nodiscard]] bool keeps_changes() const { return writes && !opens_transaction; }
  /// Whether a replica that is recent enough may run it.
  [[nodiscard]] bool may_use_replicas() const {
    return reads() && route.reads != registry::ReadPolicy::kPrimary;
  }
  /// Before it is tried.
  [[nodiscard]] placement::StatementProgress progress() const {
    return {arrived, deadline, std::chrono::milliseconds(route.target_latency_ms), 0, rerouted, false};
  }
};

/// A transaction that is open at another proxy.
struct RemotePin {
  std::shared_ptr<ForwardConnection> connection;
  std::uint64_t pin = 0;
};

/// Where a transaction is open: a link that nobody else uses until it is given back, or another proxy.
struct PinnedLink {
  std::shared_ptr<BackendState> backend;  ///< null for another proxy
  std::shared_ptr<StatefulLink> link;     ///< null for another proxy
  std::optional<RemotePin> remote;
  std::uint64_t epoch = 0;  ///< of the group when it was opened
  bool at_primary = false;  ///< its answers count only while the primary of `epoch` may be used
};

struct RunResult {
  Answer answer;
  std::optional<PinnedLink> pinned;  ///< the transaction is open there
  ServedBy served_by = ServedBy::kProxy;
  bool nothing_run = false;  ///< no backend can have run it, in any attempt
};

/// Why this proxy itself refused a statement, for the log.
struct Unplaced {
  placement::RejectionReason since = placement::RejectionReason::kNone;
  Duration retry_after{0};
  std::string passed_over;  ///< the group's backends, each with what stood in the way there
};

}  // namespace cairnhollow::registered::proxy
