// Sets of configuration objects as sent to followers.
#pragma once

#include <vector>

#include "declared/config/objects.h"

namespace cairnhollow::declared::config {

/// Objects changed after a given revision, in order of revision.
struct ConfigChanges {
  std::vector<StoredObject> upserts;
  std::vector<ObjectKey> deletions;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(upserts, deletions);
  }
};

/// All objects; sent when the requested changes are no longer retained.
struct ConfigSnapshot {
  std::vector<StoredObject> objects;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(objects);
  }
};

}  // namespace cairnhollow::declared::config
