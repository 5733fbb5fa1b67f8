// A change request sent by an operator, and its outcome.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/reason.h"
#include "declared/config/objects.h"

namespace cairnhollow::declared::config {

/// Writes or deletes one object.
struct ObjectChange {
  Object object;  ///< for a deletion only kind and name are used
  bool deletion = false;
  std::optional<std::uint64_t> based_on;  ///< expected version; 0: must not exist; unset: not checked

  template <class Archive>
  void serialize(Archive& archive) {
    archive(object, deletion, based_on);
  }
};

/// A change request; applied atomically.
struct ChangeRequest {
  std::string change_id;  ///< chosen by the sender; a resend with the same id gets the original outcome
  /// The latest revision known to the sender when it chose the id; unchanged in a resend. Distinguishes a
  /// resend from a new change after the original outcome has been evicted.
  std::uint64_t at_revision = 0;
  std::string operator_name;
  std::vector<ObjectChange> changes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(change_id, at_revision, operator_name, changes);
  }
};

/// The outcome of a change, identical for every resend.
struct ChangeOutcome {
  bool accepted = false;
  std::uint64_t revision = 0;               ///< configuration revision after the change
  Reason reason;                            ///< why the change was refused
  std::optional<StoredObject> conflicting;  ///< for kConflict: the stored object that caused the conflict

  template <class Archive>
  void serialize(Archive& archive) {
    archive(accepted, revision, reason, conflicting);
  }
};

}  // namespace cairnhollow::declared::config
