// Data model of a registered fleet: the configuration document, registered backends, terms of database
// groups, and proxies that may hold a serving lease.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/types.h"
#include "wire/format.h"

namespace cairnhollow::registered::registry {

/// Freshness required of the data returned by a route's reads.
enum class ReadPolicy : std::uint8_t {
  kPrimary = 0,           ///< all writes acknowledged before the read began
  kBoundedStaleness = 1,  ///< all writes acknowledged longer ago than the staleness bound
  kReadYourWrites = 2,    ///< like kBoundedStaleness, plus all commits of the session itself
};

/// Identifies a route by what is looked up: its database and path prefix.
using RouteKey = Name<struct RouteKeyTag>;

/// Maps a database to the group that serves it, with the settings of that service.
struct RouteRule {
  RouteName name;  ///< identifies nothing: several routes may have the same
  DatabaseName database;
  std::string path_prefix;  ///< unique in the document together with the database name
  GroupName group;
  ReadPolicy reads = ReadPolicy::kPrimary;
  std::uint64_t timeout_ms = 0;         ///< timeout of one statement; must not be 0
  std::uint64_t target_latency_ms = 0;  ///< callers' latency target for a whole operation
  std::uint64_t priority = 0;           ///< 0 is the highest priority
  std::uint64_t max_staleness_ms = 0;
  bool is_public = false;  ///< also serves callers without a key, which belong to no tenant
  /// Regions in which the route's statements may run; empty: any.
  std::vector<RegionName> allowed_regions;
  bool operator==(const RouteRule&) const = default;
  /// Keys of one database are ordered by path prefix.
  [[nodiscard]] RouteKey key() const { return RouteKey(database.value + "\n" + path_prefix); }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, database, path_prefix, group, reads, timeout_ms, target_latency_ms, priority,
            max_staleness_ms);
    wire::since(archive, wire::kTenantsFormat, is_public, false);
    wire::since(archive, wire::kPlacementFormat, allowed_regions, std::vector<RegionName>());
  }
};

struct GroupRule {
  GroupName name;
  std::uint64_t max_connections = 0;  ///< per backend, from all callers together; 0: unlimited
  std::uint64_t synchronous_replicas = 0;
  std::uint64_t cold_start_ms = 0;  ///< how long a backend is slow after its start; 0: never
  double cold_rate_per_s =
      0;  ///< statements per second that a cold backend accepts from all callers together; 0: unlimited
  bool operator==(const GroupRule&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, max_connections, synchronous_replicas);
    wire::since(archive, wire::kPlacementFormat, cold_start_ms, std::uint64_t{0});
    wire::since(archive, wire::kPlacementFormat, cold_rate_per_s, 0.0);
  }
};

/// A group of callers that is identified by its API keys and whose limits apply across all proxies.
struct TenantRule {
  TenantName name;
  std::vector<ApiKey> keys;  ///< each key authenticates exactly one tenant
  /// Operations that may start per second on average; unlimited if `burst` is 0 too.
  std::uint64_t rate_per_s = 0;
  std::uint64_t burst = 0;     ///< operations that may start at once after an idle period
  std::uint64_t priority = 0;  ///< 0 is the highest priority; orders waiting statements
  /// Regions in which the tenant's statements may run, in addition to the route's restriction; empty: any.
  std::vector<RegionName> allowed_regions;
  bool operator==(const TenantRule&) const = default;
  [[nodiscard]] bool is_limited() const { return rate_per_s > 0 || burst > 0; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, keys, rate_per_s, burst, priority);
    wire::since(archive, wire::kPlacementFormat, allowed_regions, std::vector<RegionName>());
  }
};

/// The complete configuration of a registered fleet. The highest version is in force.
struct ConfigurationDocument {
  std::uint64_t version = 0;
  std::string text;  ///< the document as submitted, returned unchanged on read
  std::vector<RouteRule> routes;
  std::vector<GroupRule> groups;
  std::uint64_t transaction_idle_ms = 0;  ///< a transaction idle for longer may be terminated; 0: never
  /// Callers must authenticate with a tenant's key, except on public routes. False in documents without
  /// tenants.
  bool requires_keys = false;
  std::vector<TenantRule> tenants;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, text, routes, groups, transaction_idle_ms);
    wire::since(archive, wire::kTenantsFormat, requires_keys, false);
    wire::since(archive, wire::kTenantsFormat, tenants, std::vector<TenantRule>());
  }
};

/// One run of a backend process. A backend that restarts under its name retains no data of the previous run.
struct BackendIncarnation {
  BackendName name;
  std::uint64_t start_time_ms = 0;  ///< Unix time of the process start on its own clock; 0: not reported
  auto operator<=>(const BackendIncarnation&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, start_time_ms);
  }
};

/// A backend as it registered itself.
struct BackendEntry {
  BackendName name;
  GroupName group;
  Endpoint endpoint;
  ZoneName zone;
  std::uint64_t slots = 0;
  bool leaving = false;
  /// Sequence number of the registration within this incarnation; a lower one that arrives later is stale.
  std::uint64_t sequence = 0;
  std::uint64_t start_time_ms = 0;  ///< Unix time of the process start on its own clock; 0: not reported
  std::uint64_t cold_ms = 0;        ///< remaining cold time at registration; 0: warm
  [[nodiscard]] BackendIncarnation incarnation() const { return {name, start_time_ms}; }
  /// Returns true if the backend reported its start time.
  [[nodiscard]] bool has_start_time() const { return start_time_ms != 0; }
  /// Returns true if the two registrations carry the same state. A change between cold and warm counts as a
  /// change; a change of the remaining cold time does not.
  [[nodiscard]] bool has_same_state(const BackendEntry& other) const {
    return start_time_ms == other.start_time_ms && group == other.group && endpoint == other.endpoint &&
           zone == other.zone && slots == other.slots && leaving == other.leaving &&
           (cold_ms > 0) == (other.cold_ms > 0);
  }
  /// Returns true if this entry, which has the same name or address as `held`, belongs to an earlier
  /// incarnation, or reports no start time while `held` does.
  [[nodiscard]] bool is_older_incarnation_than(const BackendEntry& held) const {
    return start_time_ms < held.start_time_ms;
  }
  /// Returns true if this entry replaces `held`, which has the same name: it belongs to a later incarnation,
  /// or to the same one with a higher sequence number and changed state.
  [[nodiscard]] bool supersedes(const BackendEntry& held) const {
    if (start_time_ms != held.start_time_ms) return start_time_ms > held.start_time_ms;
    return sequence > held.sequence && !has_same_state(held);
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, group, endpoint, zone, slots, leaving, sequence);
    wire::since(archive, wire::kPlacementFormat, start_time_ms, std::uint64_t{0});
    wire::since(archive, wire::kPlacementFormat, cold_ms, std::uint64_t{0});
  }
};

/// An epoch together with the group that counts it: epochs of different groups are unrelated.
struct GroupEpoch {
  GroupName group;
  std::uint64_t epoch = 0;
  bool operator==(const GroupEpoch&) const = default;
};

/// The primary of a group as known to the fleet. A group is closed from the time at which its primary is
/// given up until the next primary is confirmed; a closed group accepts and acknowledges no writes.
struct GroupTerm {
  GroupName group;
  std::uint64_t term = 0;
  BackendName primary;
  bool open = false;
  std::uint64_t epoch = 0;                  ///< incremented on each change of this entry
  std::uint64_t opened_at = 0;              ///< revision at which the primary was last confirmed
  std::uint64_t primary_start_time_ms = 0;  ///< start time of the leading incarnation; 0: unknown
  /// Returns true if the backend has the primary's name but is known to be another incarnation, which does
  /// not lead.
  [[nodiscard]] bool is_restarted_primary(const BackendEntry& entry) const {
    return entry.name == primary && entry.start_time_ms != 0 && primary_start_time_ms != 0 &&
           entry.start_time_ms != primary_start_time_ms;
  }
  /// Returns true if the backend is the primary, as far as is known.
  [[nodiscard]] bool is_led_by(const BackendEntry& entry) const {
    return entry.name == primary && !is_restarted_primary(entry);
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(group, term, primary, open, epoch, opened_at);
    wire::since(archive, wire::kPlacementFormat, primary_start_time_ms, std::uint64_t{0});
  }
};

/// What a group's primary held when it was confirmed: every commit that was acknowledged in an earlier term,
/// or by a proxy that was replaced or removed up to `revision`, is at or before `position`.
struct TermStart {
  Position position;
  std::uint64_t revision = 0;  ///< fleet revision before the primary was asked for its position
  bool operator==(const TermStart&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(position, revision);
  }
};

/// An operator's order to send nothing more to a zone's backends.
struct Evacuation {
  ZoneName zone;
  bool operator==(const Evacuation&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(zone);
  }
};

/// One run of a proxy process that may hold a serving lease.
struct AdmittedProxy {
  NodeName node;
  std::uint64_t incarnation = 0;
  ZoneName zone;
  Endpoint peer_endpoint;  ///< endpoint for connections from other proxies
  bool leaving = false;    ///< accepts no new work from other proxies
  bool operator==(const AdmittedProxy&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(node, incarnation, zone, peer_endpoint, leaving);
  }
};

/// Endpoint at which a proxy answers repeated registrations: the port after its peer port.
inline Endpoint registration_relay_endpoint(const Endpoint& peer_endpoint) {
  return {peer_endpoint.address, static_cast<std::uint16_t>(peer_endpoint.port + 1)};
}

}  // namespace cairnhollow::registered::registry
