// The configuration objects that operators create, label and select. Plain values; rules between objects are
// in config/validation.
#pragma once

#include <cereal/types/variant.hpp>
#include <string>
#include <variant>
#include <vector>

#include "base/types.h"
#include "wire/format.h"

namespace cairnhollow::declared::config {

enum class ObjectKind : std::uint8_t { kProxy = 1, kBackend = 2, kDatabaseGroup = 3, kRoute = 4 };

struct ObjectKey {
  ObjectKind kind = ObjectKind::kProxy;
  std::string name;
  auto operator<=>(const ObjectKey&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, name);
  }
};

enum class SelectorOperator : std::uint8_t { kIn = 1, kNotIn = 2, kExists = 3, kDoesNotExist = 4 };

struct SelectorExpression {
  std::string key;
  SelectorOperator op = SelectorOperator::kExists;
  std::vector<std::string> values;
  auto operator<=>(const SelectorExpression&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, op, values);
  }
};

/// Selects objects (or statements) by labels: every entry and every expression must match. An empty selector
/// matches everything.
struct Selector {
  LabelSet match_labels;
  std::vector<SelectorExpression> match_expressions;
  auto operator<=>(const Selector&) const = default;
  [[nodiscard]] bool matches(const LabelSet& labels) const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(match_labels, match_expressions);
  }
};

/// A proxy that may serve clients. A proxy process without such an object follows but does not serve.
struct ProxySpec {
  ZoneName zone;
  Endpoint endpoint;  ///< address for clients
  bool drain = false;
  auto operator<=>(const ProxySpec&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(zone, endpoint, drain);
  }
};

/// A database server.
struct BackendSpec {
  ZoneName zone;
  Endpoint endpoint;
  bool drain = false;  ///< accepts no new work; its primary role is handed over first
  auto operator<=>(const BackendSpec&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(zone, endpoint, drain);
  }
};

/// Range of hash slots of partition keys, both ends inclusive, out of kHashSlots.
struct HashSlotRange {
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  auto operator<=>(const HashSlotRange&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(first, last);
  }
};
inline constexpr std::uint32_t kHashSlots = 65536;

/// A replicated database whose members are the backends matched by the selector.
struct DatabaseGroupSpec {
  Selector backend_selector;
  HashSlotRange hash_slots{0, kHashSlots - 1};  ///< partition keys held by this group
  std::uint32_t connections_per_backend = 35;   ///< connection limit of each backend
  std::uint32_t slots_per_backend = 5;          ///< concurrent statements per backend
  auto operator<=>(const DatabaseGroupSpec&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(backend_selector, hash_slots, connections_per_backend, slots_per_backend);
  }
};

/// For routes that do not set it, including those stored before the field existed.
inline constexpr std::uint64_t kDefaultReplicaWaitMilliseconds = 200;

/// Which statements are sent to which groups, and how their reads may be served.
struct RouteSpec {
  std::uint32_t precedence = 0;  ///< the matching route with the highest value wins, ties by name
  Selector statement_selector;   ///< over statement labels; "database" is always one of them
  Selector group_selector;    ///< over group labels; among the matches, the group that holds the key's hash
                              ///< slot is used
  Selector replica_selector;  ///< over backend labels: replicas that may serve reads
  bool replica_reads = true;
  std::uint64_t max_staleness_milliseconds = 5000;  ///< upper limit for the age of data returned by reads
  /// Maximum time that a read waits for a replica to reach the session's position; 0: no waiting.
  std::uint64_t replica_wait_milliseconds = kDefaultReplicaWaitMilliseconds;
  auto operator<=>(const RouteSpec&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(precedence, statement_selector, group_selector, replica_selector, replica_reads,
            max_staleness_milliseconds);
    wire::since(archive, wire::kReplicaWaitFormat, replica_wait_milliseconds,
                kDefaultReplicaWaitMilliseconds);
  }
};

/// The index of each alternative must be the ObjectKind's value minus one.
using ObjectSpec = std::variant<ProxySpec, BackendSpec, DatabaseGroupSpec, RouteSpec>;

/// A configuration object as declared by an operator.
struct Object {
  std::string name;
  LabelSet labels;
  ObjectSpec spec;
  auto operator<=>(const Object&) const = default;
  [[nodiscard]] ObjectKind kind() const { return static_cast<ObjectKind>(spec.index() + 1); }
  [[nodiscard]] ObjectKey key() const { return {kind(), name}; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, labels, spec);
  }
};

/// An object in the current configuration. `version` is the revision of the change that last wrote it.
struct StoredObject {
  Object object;
  std::uint64_t version = 0;
  auto operator<=>(const StoredObject&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(object, version);
  }
};

}  // namespace cairnhollow::declared::config
