// Sets of configuration objects as they are sent to followers.
#pragma once

#include <vector>

#include "declared/config/objects.h"

namespace cairnhollow::declared::config {

/// Objects changed after the revision asked for, in order of revision.
struct ConfigChanges {
  std::vector<StoredObject> upserts;
  std::vector<ObjectKey> deletions;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(upserts, deletions);
  }
};

/// All objects: sent when the changes asked for are compacted away.
struct ConfigSnapshot {
  std::vector<StoredObject> objects;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(objects);
  }
};

}  // namespace cairnhollow::declared::config
