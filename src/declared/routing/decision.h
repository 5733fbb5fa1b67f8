// The choice of a backend for one statement: pure values, no I/O. `cairnhollow explain` prints them.
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

/// What the proxy knows of one backend when it chooses.
struct BackendView {
  BackendName name;
  Endpoint endpoint;
  ZoneName zone;
  LabelSet labels;
  bool leaving = false;
  std::uint32_t ordinal = 0;  ///< place in the proxy's estimate tables
};

struct GroupView {
  GroupName name;
  GroupName session_name;  ///< as session tokens name it: "domain/name", or the name where no domain is named
  LabelSet labels;
  config::DatabaseGroupSpec spec;
  std::vector<BackendView> members;
  std::uint64_t term = 0;
  BackendName primary;                                ///< empty: not known
  std::vector<subset::ProxyPointer> serving_proxies;  ///< the group's subset
  std::uint32_t proxies_serving = 1;  ///< for this proxy's share of a backend's connections and slots
  bool served_here = true;            ///< by this proxy; else it forwards to one of serving_proxies
};

using GroupPointer = std::shared_ptr<const GroupView>;

struct GroupOrder {
  using Key = GroupName;
  static const Key& key_of(const GroupPointer& group) { return group->name; }
};
using GroupList = SharedList<GroupPointer, GroupOrder>;

/// A range of hash slots, and the group that holds it.
struct SlotEntry {
  config::HashSlotRange slots;
  GroupName group;
};

struct RouteView {
  RouteName name;
  config::RouteSpec spec;
  std::vector<SlotEntry> slots;  ///< of the groups that the route selects, ascending; they do not overlap
};

using RoutePointer = std::shared_ptr<const RouteView>;

/// Highest precedence first; equal ones in order of name.
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

/// The routes whose statement selector names the database.
struct DatabaseRoutes {
  std::string database;
  RouteList routes;
};
struct DatabaseOrder {
  using Key = std::string;
  static const Key& key_of(const std::shared_ptr<const DatabaseRoutes>& entry) { return entry->database; }
};

/// The routes by database, so that finding one does not take longer the more there are.
struct RouteTable {
  SharedList<std::shared_ptr<const DatabaseRoutes>, DatabaseOrder> by_database;
  RouteList any_database;  ///< routes whose statement selector is not limited to databases that it names
};

/// An immutable snapshot, swapped whole when control sends a revision or a group's state. A request keeps
/// the one it started with and checks the lease again right before it sends. Successive views share what did
/// not change.
struct RoutingView {
  DomainName domain;           ///< whose configuration this is; empty: the only one
  std::uint64_t revision = 0;  ///< of the domain's log
  std::shared_ptr<const RouteTable> routes = std::make_shared<RouteTable>();
  GroupList groups;                   ///< by name
  bool this_proxy_known = false;      ///< an object of this proxy exists
  bool this_proxy_serves = false;     ///< it exists and does not drain
  bool this_proxy_leaves = false;     ///< the platform lists it as leaving: it serves those who still come
  std::uint32_t proxies_serving = 1;  ///< proxies that take work, of whatever groups
};

struct Request {
  backend::StatementKind kind = backend::StatementKind::kRead;
  DatabaseName database;
  std::string partition_key;
  LabelSet labels;
  std::optional<Position> session_position;  ///< of the statement's group; unset: no usable token
  bool in_transaction = false;
  /// When the read's first choice was made; unset: this is it.
  std::optional<TimePoint> first_chosen;
  /// Bound by the read's deadline on how long it may be held after that for a replica to get the position.
  Duration hold_limit{0};
};

/// A backend that may serve the statement, best first.
struct Candidate {
  BackendName backend;
  Endpoint endpoint;
  bool is_primary = false;
};

/// Why a read is served by the primary. Of several replicas the one nearest to serving tells: later
/// enumerators are nearer.
enum class PrimaryReadCause : std::uint8_t {
  kNone,           ///< a replica is the first candidate
  kRoute,          ///< the route sends reads to the primary
  kNoToken,        ///< without a session token the primary serves
  kNoReplica,      ///< the group has none that the route selects and that stays
  kUnreachable,    ///< every replica failed a moment ago
  kTooOld,         ///< older than the route's maxStaleness, or of unknown age
  kPosition,       ///< would not have the session's position in time
  kReplicaStale,   ///< a replica was asked and lacked the position
  kReplicaBusy,    ///< a replica's queue was too long, or it said that it is busy
  kReplicaFailed,  ///< a replica was asked and did not answer
};
inline constexpr std::size_t kPrimaryReadCauses = 10;
/// As the label value of metrics and in `explain`; lower case with underscores.
std::string_view primary_read_cause_name(PrimaryReadCause cause);

struct PassedOver {
  BackendName backend;
  Reason reason;
};

/// The proxy that a statement goes to from one that does not serve its group.
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
  /// The first candidate is a replica that likely gets the position a little later: hold the read for this
  /// long (without slot or connection), or until news of the group, and choose again. Zero: send at once.
  Duration hold{0};
  PrimaryReadCause primary_read = PrimaryReadCause::kNone;  ///< of reads: why no replica comes first
  Reason refusal;                                           ///< set when there is no candidate
  std::optional<ForwardTarget> forwarded_to;                ///< set when this proxy does not serve the group
};

}  // namespace cairnhollow::declared::routing
