// Value types for routing a statement: the routing view, a request and the decision made for it. No I/O.
// `cairnhollow explain` prints decisions.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/reason.h"
#include "base/types.h"
#include "declared/backend/backend_connection.h"
#include "declared/config/objects.h"
#include "declared/routing/shared_list.h"
#include "subset/subset.h"

namespace cairnhollow::declared::routing {

/// A backend as the routing view describes it.
struct BackendView {
  BackendName name;
  Endpoint endpoint;
  ZoneName zone;
  LabelSet labels;
  bool leaving = false;
  std::uint32_t ordinal = 0;  ///< index into the proxy's tables of backend estimates
};

struct GroupView {
  GroupName name;
  GroupName session_name;  ///< name in session tokens: "domain/name", or "name" in an unnamed domain
  LabelSet labels;
  config::DatabaseGroupSpec spec;
  std::vector<BackendView> members;
  std::uint64_t term = 0;
  BackendName primary;                                ///< empty if unknown
  std::vector<subset::ProxyPointer> serving_proxies;  ///< the group's subset of proxies
  std::uint32_t proxies_serving = 1;  ///< proxies sharing a backend's connection and slot limits
  bool served_here = true;            ///< by this proxy; if false, it forwards to one of serving_proxies
};

using GroupPointer = std::shared_ptr<const GroupView>;

struct GroupOrder {
  using Key = GroupName;
  static const Key& key_of(const GroupPointer& group) { return group->name; }
};
using GroupList = SharedList<GroupPointer, GroupOrder>;

/// A range of hash slots and the group that holds it.
struct SlotEntry {
  config::HashSlotRange slots;
  GroupName group;
};

struct RouteView {
  RouteName name;
  config::RouteSpec spec;
  std::vector<SlotEntry> slots;  ///< of the groups that the route selects, ascending and without overlap
};

using RoutePointer = std::shared_ptr<const RouteView>;

/// Sorts routes by descending precedence, then by name.
struct RouteRank {
  std::uint32_t precedence = 0;
  const RouteName* name = nullptr;
  bool operator<(const RouteRank& other) const {
    if (precedence != other.precedence) return precedence > other.precedence;
    return *name < *other.name;
  }
};
struct RouteOrder {
  using Key = RouteRank;
  static Key key_of(const RoutePointer& route) { return {route->spec.precedence, &route->name}; }
};
using RouteList = SharedList<RoutePointer, RouteOrder>;

/// The routes whose statement selector names one database.
struct DatabaseRoutes {
  std::string database;
  RouteList routes;
};
struct DatabaseOrder {
  using Key = std::string;
  static const Key& key_of(const std::shared_ptr<const DatabaseRoutes>& entry) { return entry->database; }
};

/// Routes indexed by database, so that lookup time does not grow with the total number of routes.
struct RouteTable {
  SharedList<std::shared_ptr<const DatabaseRoutes>, DatabaseOrder> by_database;
  RouteList any_database;  ///< routes whose statement selector is not restricted to named databases
};

/// An immutable snapshot, replaced as a whole when control sends a new revision or group state. A request
/// keeps the snapshot that it started with and checks the lease again immediately before it sends. Successive
/// snapshots share unchanged parts.
struct RoutingView {
  DomainName domain;           ///< domain of the configuration; empty if there is only one domain
  std::uint64_t revision = 0;  ///< of the domain's configuration log
  std::shared_ptr<const RouteTable> routes = std::make_shared<RouteTable>();
  GroupList groups;                ///< ordered by name
  bool this_proxy_known = false;   ///< whether the configuration has a Proxy object for this proxy
  bool this_proxy_serves = false;  ///< whether that object exists and is not draining
  bool this_proxy_leaves = false;  ///< listed as leaving by the platform; still serves callers that reach it
  std::uint32_t proxies_serving = 1;  ///< number of proxies accepting work, over all groups
};

struct Request {
  backend::StatementKind kind = backend::StatementKind::kRead;
  DatabaseName database;
  std::string partition_key;
  LabelSet labels;
  std::optional<Position> session_position;  ///< in the statement's group; unset without a usable token
  bool in_transaction = false;
  /// When the backends for this read were first selected; unset on the first selection.
  std::optional<TimePoint> first_choice_at;
  /// Maximum time after first_choice_at for which the read may be held until a replica reaches the position.
  /// Derived from the read's deadline.
  Duration hold_limit{0};
};

/// A backend that may serve the statement.
struct Candidate {
  BackendName backend;
  Endpoint endpoint;
  bool is_primary = false;
};

/// Why a read is served by the primary. If replicas were skipped for different causes, the highest enumerator
/// applies: it belongs to the replica that was closest to serving the read.
enum class PrimaryReadCause : std::uint8_t {
  kNone,           ///< a replica is the first candidate
  kRoute,          ///< the route sends reads to the primary
  kNoToken,        ///< the read has no usable session token
  kNoReplica,      ///< the group has no replica that the route selects and that is not leaving
  kUnreachable,    ///< every replica failed recently
  kTooOld,         ///< replica data is older than the route's maxStaleness, or of unknown age
  kPosition,       ///< no replica is expected to reach the session's position in time
  kReplicaStale,   ///< a replica was asked but had not reached the position
  kReplicaBusy,    ///< a replica's queue was too long, or it reported that it is busy
  kReplicaFailed,  ///< a replica was asked and did not answer
};
inline constexpr std::size_t kPrimaryReadCauses = 10;
/// Lower case with underscores, as in metric labels and `explain`.
std::string_view primary_read_cause_name(PrimaryReadCause cause);

struct PassedOver {
  BackendName backend;
  Reason reason;
};

/// The proxy to which a statement is forwarded if this proxy does not serve its group.
struct ForwardTarget {
  NodeName proxy;
  Endpoint endpoint;
};

struct Decision {
  DomainName domain;
  GroupName group;
  RouteName route;
  std::uint64_t term = 0;
  std::vector<Candidate> candidates;
  std::vector<PassedOver> passed_over;
  /// Non-zero if the first candidate is a replica expected to reach the position later: hold the read,
  /// without a slot or connection, for this long or until the group's positions change, then select again.
  /// Zero: send immediately.
  Duration hold{0};
  PrimaryReadCause primary_read = PrimaryReadCause::kNone;  ///< for reads: why no replica comes first
  Reason refusal;                                           ///< set if there is no candidate
  std::optional<ForwardTarget> forwarded_to;                ///< set if this proxy does not serve the group
};

}  // namespace cairnhollow::declared::routing
