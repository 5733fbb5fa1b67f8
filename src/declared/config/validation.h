// Rules that an object must meet by itself, and rules between objects. Checked by the state machine before a
// change is accepted, so that every configuration in force meets them all.
#pragma once

#include <string>
#include <vector>

#include "base/reason.h"
#include "declared/config/object_store.h"
#include "declared/config/objects.h"

namespace cairnhollow::declared::config {

// Limits of single fields; docs/MANIFESTS.md lists them for operators.
inline constexpr std::size_t kMaximumNameLength = 63;
inline constexpr std::size_t kMaximumLabels = 64;
inline constexpr std::size_t kMaximumSelectorExpressions = 32;
inline constexpr std::size_t kMaximumSelectorValues = 256;
inline constexpr std::uint32_t kMaximumConnectionsPerBackend = 10'000;
inline constexpr std::uint32_t kMaximumSlotsPerBackend = 10'000;
inline constexpr std::uint32_t kMaximumPrecedence = 1'000'000;
inline constexpr std::uint64_t kMaximumStalenessMilliseconds = 86'400'000;  // one day
inline constexpr std::uint64_t kMaximumReplicaWaitMilliseconds = 10'000;

/// All objects in force, or as they would be after a change.
using ObjectTable = std::map<ObjectKey, StoredObject>;

/// One broken rule.
struct FieldFault {
  ObjectKey object;
  std::string field;    ///< path in the manifest, e.g. "spec.hashSlots.last"
  std::string problem;  ///< what is wrong, with the value found
  auto operator<=>(const FieldFault&) const = default;
};

/// Objects and zones are named like DNS labels (RFC 1123), with dots allowed.
bool is_valid_name(const std::string& name);

/// Rules within one object: names, labels, selectors, ranges.
std::vector<FieldFault> validate_object(const Object& object);

/// Rules between objects, checked for the `touched` ones against all of `objects`: endpoints are unique, a
/// backend belongs to at most one group, groups that one route selects share no hash slot. What is not
/// touched is taken to meet them already.
std::vector<FieldFault> validate_relations(const ObjectStore& objects, const std::vector<ObjectKey>& touched);

/// kInvalidArgument with all faults, sorted, in its detail (long lists are cut with their count).
Reason reason_for_faults(std::vector<FieldFault> faults);

}  // namespace cairnhollow::declared::config
