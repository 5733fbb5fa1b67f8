// What a registered fleet consists of: the configuration document, the backends that registered themselves,
// the terms of the database groups, and the proxies that may hold a serving lease.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/types.h"
#include "wire/format.h"

namespace cairnhollow::registered::registry {

/// How fresh the data must be that a route's reads show.
enum class ReadPolicy : std::uint8_t {
  kPrimary = 0,           ///< everything acknowledged before the read began
  kBoundedStaleness = 1,  ///< everything acknowledged more than the bound ago
  kReadYourWrites = 2,    ///< the same, and everything that the session itself committed
};

/// Which database group serves a database, and how.
struct RouteRule {
  RouteName name;
  DatabaseName database;
  std::string path_prefix;  ///< with the database's name unique in a document
  GroupName group;
  ReadPolicy reads = ReadPolicy::kPrimary;
  std::uint64_t timeout_ms = 0;         ///< of one statement; not 0
  std::uint64_t target_latency_ms = 0;  ///< that callers aim at, of a whole operation
  std::uint64_t priority = 0;           ///< 0 is the highest
  std::uint64_t max_staleness_ms = 0;
  bool is_public = false;  ///< serves callers without a key, who belong to no tenant
  /// Where its statements may run; empty: anywhere.
  std::vector<RegionName> allowed_regions;
  bool operator==(const RouteRule&) const = default;

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
  std::uint64_t max_connections = 0;  ///< that one backend takes from all callers; 0: no limit
  std::uint64_t synchronous_replicas = 0;
  std::uint64_t cold_start_ms = 0;  ///< for how long a backend is slow after its start; 0: never
  double cold_rate_per_s =
      0;  ///< statements that a cold backend takes a second, from all callers; 0: no limit
  bool operator==(const GroupRule&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, max_connections, synchronous_replicas);
    wire::since(archive, wire::kPlacementFormat, cold_start_ms, std::uint64_t{0});
    wire::since(archive, wire::kPlacementFormat, cold_rate_per_s, 0.0);
  }
};

/// Callers that are told apart by their keys and limited together, over all proxies.
struct TenantRule {
  TenantName name;
  std::vector<ApiKey> keys;      ///< each proves the tenant; of one tenant only
  std::uint64_t rate_per_s = 0;  ///< operations that may begin, on average; 0 with `burst` 0: no limit
  std::uint64_t burst = 0;       ///< operations that may begin at once after a rest
  std::uint64_t priority = 0;    ///< as the operator gave it; kept, and not used yet
  /// Where its statements may run, beside what their route allows; empty: anywhere.
  std::vector<RegionName> allowed_regions;
  bool operator==(const TenantRule&) const = default;
  [[nodiscard]] bool is_limited() const { return rate_per_s > 0 || burst > 0; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, keys, rate_per_s, burst, priority);
    wire::since(archive, wire::kPlacementFormat, allowed_regions, std::vector<RegionName>());
  }
};

/// The whole configuration of a registered fleet. The highest version holds.
struct ConfigurationDocument {
  std::uint64_t version = 0;
  std::string text;  ///< as it was sent; read back as it is
  std::vector<RouteRule> routes;
  std::vector<GroupRule> groups;
  std::uint64_t transaction_idle_ms = 0;  ///< a transaction that rests longer may be ended; 0: never
  /// Callers prove their tenant by a key, but on public routes. False in documents that know no tenants.
  bool requires_keys = false;
  std::vector<TenantRule> tenants;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, text, routes, groups, transaction_idle_ms);
    wire::since(archive, wire::kTenantsFormat, requires_keys, false);
    wire::since(archive, wire::kTenantsFormat, tenants, std::vector<TenantRule>());
  }
};

/// One run of a backend's process. A backend that starts again under its name holds nothing of what the one
/// before held.
struct BackendIncarnation {
  BackendName name;
  std::uint64_t born_ms = 0;  ///< Unix time of its start, by its own clock; 0: it tells none
  auto operator<=>(const BackendIncarnation&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, born_ms);
  }
};

/// One backend as it registered itself.
struct BackendEntry {
  BackendName name;
  GroupName group;
  Endpoint endpoint;
  ZoneName zone;
  std::uint64_t slots = 0;
  bool leaving = false;
  std::uint64_t sequence =
      0;  ///< of the registration in this incarnation; a lower one that comes later is old
  std::uint64_t born_ms = 0;  ///< Unix time of its start, by its own clock; 0: it tells none
  std::uint64_t cold_ms = 0;  ///< for how much longer it was cold when it registered this; 0: it is warm
  [[nodiscard]] BackendIncarnation incarnation() const { return {name, born_ms}; }
  /// Whether it tells which incarnation it is of.
  [[nodiscard]] bool tells_birth() const { return born_ms != 0; }
  /// Whether a newer registration says nothing new. Turning cold or warm is news; what is left of the cold
  /// time is none.
  [[nodiscard]] bool same_facts(const BackendEntry& other) const {
    return born_ms == other.born_ms && group == other.group && endpoint == other.endpoint &&
           zone == other.zone && slots == other.slots && leaving == other.leaving &&
           (cold_ms > 0) == (other.cold_ms > 0);
  }
  /// Whether this one, of the same name or address, belongs to the past of `held`: of an earlier incarnation,
  /// or of none where `held` tells one.
  [[nodiscard]] bool is_of_earlier_incarnation_than(const BackendEntry& held) const {
    return born_ms < held.born_ms;
  }
  /// Whether it changes what `held`, of the same name, says: it is of a later incarnation, or of the same one
  /// with news.
  [[nodiscard]] bool supersedes(const BackendEntry& held) const {
    if (born_ms != held.born_ms) return born_ms > held.born_ms;
    return sequence > held.sequence && !same_facts(held);
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, group, endpoint, zone, slots, leaving, sequence);
    wire::since(archive, wire::kPlacementFormat, born_ms, std::uint64_t{0});
    wire::since(archive, wire::kPlacementFormat, cold_ms, std::uint64_t{0});
  }
};

/// Who leads a group, as the fleet knows it. A group is closed from the moment in which its primary is given
/// up until the next one is known to lead; a closed group takes no writes and acknowledges none.
struct GroupTerm {
  GroupName group;
  std::uint64_t term = 0;
  BackendName primary;
  bool open = false;
  std::uint64_t epoch = 0;            ///< grows with each change of this entry
  std::uint64_t opened_at = 0;        ///< revision at which the primary was last known to lead
  std::uint64_t primary_born_ms = 0;  ///< which incarnation of `primary` leads; 0: not known
  /// Whether a backend of the primary's name is known to be another incarnation of it, which does not lead.
  [[nodiscard]] bool is_restarted_primary(const BackendEntry& entry) const {
    return entry.name == primary && entry.born_ms != 0 && primary_born_ms != 0 &&
           entry.born_ms != primary_born_ms;
  }
  /// Whether the backend is the primary, as far as is known.
  [[nodiscard]] bool is_led_by(const BackendEntry& entry) const {
    return entry.name == primary && !is_restarted_primary(entry);
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(group, term, primary, open, epoch, opened_at);
    wire::since(archive, wire::kPlacementFormat, primary_born_ms, std::uint64_t{0});
  }
};

/// Operators want nothing more sent to the backends of a zone.
struct Evacuation {
  ZoneName zone;
  bool operator==(const Evacuation&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(zone);
  }
};

/// One run of a proxy's process that may hold a serving lease.
struct AdmittedProxy {
  NodeName node;
  std::uint64_t incarnation = 0;
  ZoneName zone;
  Endpoint peer_endpoint;  ///< where other proxies reach it
  bool leaving = false;    ///< takes no new work from other proxies
  bool operator==(const AdmittedProxy&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(node, incarnation, zone, peer_endpoint, leaving);
  }
};

/// Where a proxy answers registrations that say nothing new: the port after the one of its peers.
inline Endpoint registrations_at(const Endpoint& peer_endpoint) {
  return {peer_endpoint.address, static_cast<std::uint16_t>(peer_endpoint.port + 1)};
}

}  // namespace cairnhollow::registered::registry
