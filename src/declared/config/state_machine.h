// The replicated configuration: applies committed changes in log order, the same on every control node.
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

/// Deterministic; holds no clock and no randomness. A change costs what it touches, not the whole
/// configuration. Every accepted change raises the revision by one, also
/// one that leaves every object as it was; a refused change leaves no trace but its remembered outcome.
class StateMachine {
 public:
  /// Objects of one change; more are refused.
  static constexpr std::size_t kMaximumChangesPerRequest = 10'000;
  static constexpr std::size_t kMaximumIdentifierLength = 128;  ///< of change ids and operator names

  /// Applies one committed change. Refusals: kInvalidArgument (all faults in the detail), kConflict (an
  /// object's version is not the one the change was based on), kAlreadyExists (the change id was used
  /// before with other content), kOutcomeUnknown (the change may be a copy of one that was accepted so long
  /// ago that it is no longer remembered; this copy changes nothing).
  ChangeOutcome apply(const ChangeRequest& request);

  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  /// By kind, then name.
  [[nodiscard]] std::vector<StoredObject> list(std::optional<ObjectKind> kind) const;
  /// By kind, then name. Names that are not there are passed over.
  [[nodiscard]] std::vector<StoredObject> select(const ObjectQuery& query) const;
  [[nodiscard]] std::optional<StoredObject> find(const ObjectKey& key) const;
  /// Changes after `revision`, each object once and as it is now; empty when they are no longer kept or
  /// `revision` is above the current one: then send a snapshot.
  [[nodiscard]] std::optional<ConfigChanges> changes_since(std::uint64_t revision) const;

  /// Everything that later answers depend on, the change memory included, behind a checksum.
  /// Written in the earliest format from `level` on that loses nothing.
  [[nodiscard]] std::string take_snapshot(wire::Format level = wire::kWrittenFormat) const;
  /// kCorrupt, and kUnsupported for one that a newer build wrote, leave the state as it was.
  bool restore_snapshot(const std::string& bytes, Reason& reason);

 private:
  [[nodiscard]] std::optional<Reason> check_request(const ChangeRequest& request) const;
  ChangeOutcome decide(const ChangeRequest& request);
  [[nodiscard]] ChangeOutcome refuse(Reason reason) const;
  [[nodiscard]] std::optional<ChangeOutcome> find_conflict(const ChangeRequest& request) const;
  ChangeOutcome write_all(const ChangeRequest& request);

  std::uint64_t revision_ = 0;
  ObjectStore objects_;
  ChangeHistory history_;
  ChangeMemory memory_;
};

}  // namespace cairnhollow::declared::config
