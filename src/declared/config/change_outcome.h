// A change that an operator sends, and the answer to it.
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
  Object object;  ///< for a deletion only kind and name count
  bool deletion = false;
  std::optional<std::uint64_t> based_on;  ///< version it was based on; 0: must not exist; unset: any

  template <class Archive>
  void serialize(Archive& archive) {
    archive(object, deletion, based_on);
  }
};

/// What an operator sends: all of it is accepted or none.
struct ChangeRequest {
  std::string change_id;  ///< chosen by the sender; a resend under the same id gets the first answer
  /// The revision that the sender had seen when it chose the id. A resend says the same. It lets a copy be
  /// told from a new change even when the first one is no longer remembered.
  std::uint64_t at_revision = 0;
  std::string operator_name;
  std::vector<ObjectChange> changes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(change_id, at_revision, operator_name, changes);
  }
};

/// The answer to a change, the same for every resend of it.
struct ChangeOutcome {
  bool accepted = false;
  std::uint64_t revision = 0;               ///< of the configuration after the change
  Reason reason;                            ///< why it was refused
  std::optional<StoredObject> conflicting;  ///< the object that won, for kConflict

  template <class Archive>
  void serialize(Archive& archive) {
    archive(accepted, revision, reason, conflicting);
  }
};

}  // namespace cairnhollow::declared::config
