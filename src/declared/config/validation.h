// Validation rules within an object and between objects. The state machine checks them before it accepts a
// change, so that every accepted configuration satisfies them.
#pragma once

#include <string>
#include <vector>

#include "base/reason.h"
#include "declared/config/object_store.h"
#include "declared/config/objects.h"

namespace cairnhollow::declared::config {

// Field limits, listed for operators in docs/MANIFESTS.md.
inline constexpr std::size_t kMaximumNameLength = 63;
inline constexpr std::size_t kMaximumLabels = 64;
inline constexpr std::size_t kMaximumSelectorExpressions = 32;
inline constexpr std::size_t kMaximumSelectorValues = 256;
inline constexpr std::uint32_t kMaximumConnectionsPerBackend = 10'000;
inline constexpr std::uint32_t kMaximumSlotsPerBackend = 10'000;
inline constexpr std::uint32_t kMaximumPrecedence = 1'000'000;
inline constexpr std::uint64_t kMaximumStalenessMilliseconds = 86'400'000;  // one day
inline constexpr std::uint64_t kMaximumReplicaWaitMilliseconds = 10'000;

/// The objects to validate: the current configuration, or the configuration after a change.
using ObjectTable = std::map<ObjectKey, StoredObject>;

/// A violation of one rule.
struct FieldFault {
  ObjectKey object;
  std::string field;    ///< path in the manifest, e.g. "spec.hashSlots.last"
  std::string problem;  ///< the violation, including the offending value
  auto operator<=>(const FieldFault&) const = default;
};

/// Valid names of objects and zones: DNS labels (RFC 1123), with dots allowed.
bool is_valid_name(const std::string& name);

/// Checks the rules within one object: names, labels, selectors, ranges.
std::vector<FieldFault> validate_object(const Object& object);

/// Checks the rules between the `touched` objects and all of `objects`: endpoints are unique, a backend
/// belongs to at most one group, and the groups selected by one route share no hash slot. Objects that were
/// not touched are assumed to be valid.
std::vector<FieldFault> validate_relations(const ObjectStore& objects, const std::vector<ObjectKey>& touched);

/// Returns kInvalidArgument with all faults, sorted, in the detail (a long list is truncated and ends with
/// the number of further faults).
Reason reason_for_faults(std::vector<FieldFault> faults);

}  // namespace cairnhollow::declared::config
