// The replicated configuration: applies committed changes in log order, with the same result on every control
// node.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/reason.h"
#include "declared/config/change_history.h"
#include "declared/config/change_memory.h"
#include "declared/config/change_outcome.h"
#include "declared/config/changes.h"
#include "declared/config/object_query.h"
#include "declared/config/validation.h"
#include "wire/format.h"

namespace cairnhollow::declared::config {

/// Deterministic: uses no clock and no randomness. The cost of a change depends on the objects it touches,
/// not on the size of the configuration. Every accepted change increments the revision, even if it leaves all
/// objects unchanged; a refused change only records its outcome.
class StateMachine {
 public:
  /// Maximum number of objects in one change.
  static constexpr std::size_t kMaximumChangesPerRequest = 10'000;
  static constexpr std::size_t kMaximumIdentifierLength =
      128;  ///< characters in a change id or operator name

  /// Applies one committed change. Refusals: kInvalidArgument (all faults in the detail), kConflict (an
  /// object is not at the version on which the change was based), kAlreadyExists (the change id was used with
  /// different content), kOutcomeUnknown (possibly a resend of an accepted change whose outcome has been
  /// evicted; not applied).
  ChangeOutcome apply(const ChangeRequest& request);

  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  /// Ordered by kind, then name.
  [[nodiscard]] std::vector<StoredObject> list(std::optional<ObjectKind> kind) const;
  /// Ordered by kind, then name. Names without an object are skipped.
  [[nodiscard]] std::vector<StoredObject> select(const ObjectQuery& query) const;
  [[nodiscard]] std::optional<StoredObject> find(const ObjectKey& key) const;
  /// Returns the changes after `revision`, each object once and in its current version. Returns std::nullopt
  /// if they are no longer retained or `revision` is above the current one; the caller then sends a snapshot.
  [[nodiscard]] std::optional<ConfigChanges> changes_since(std::uint64_t revision) const;

  /// Serializes the full state, including the change memory, preceded by a checksum. Uses the earliest format
  /// from `level` on that can represent it.
  [[nodiscard]] std::string take_snapshot(wire::Format level = wire::kWrittenFormat) const;
  /// Fails with kCorrupt, or kUnsupported if a newer build wrote the snapshot; the state is then unchanged.
  bool restore_snapshot(const std::string& bytes, Reason& reason);

 private:
  [[nodiscard]] std::optional<Reason> check_request(const ChangeRequest& request) const;
  ChangeOutcome decide(const ChangeRequest& request);
  [[nodiscard]] ChangeOutcome refuse(Reason reason) const;
  [[nodiscard]] std::optional<ChangeOutcome> find_conflict(const ChangeRequest& request) const;
  ChangeOutcome apply_changes(const ChangeRequest& request);

  std::uint64_t revision_ = 0;
  ObjectStore objects_;
  ChangeHistory history_;
  ChangeMemory memory_;
};

}  // namespace cairnhollow::declared::config
