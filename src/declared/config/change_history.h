// Records which objects each of the latest revisions touched, so that a follower slightly behind can be sent
// only those.
#pragma once

#include <cereal/types/deque.hpp>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <vector>

#include "declared/config/objects.h"

namespace cairnhollow::declared::config {

/// Bounded: keeps the latest kMaximumRevisions revisions with at most kMaximumKeys object keys in total, and
/// always the latest revision. Stores keys only; the content of an object is its current version.
class ChangeHistory {
 public:
  static constexpr std::size_t kMaximumRevisions = 4096;
  static constexpr std::size_t kMaximumKeys = 65536;

  /// `revision` must be one above the last recorded revision.
  void record(std::uint64_t revision, std::vector<ObjectKey> touched);
  /// Returns the objects touched after `revision`, or std::nullopt if `revision` is outside the retained
  /// range.
  [[nodiscard]] std::optional<std::set<ObjectKey>> touched_since(std::uint64_t revision) const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(last_revision_, key_count_, touched_);
  }

 private:
  std::uint64_t last_revision_ = 0;
  std::uint64_t key_count_ = 0;
  std::deque<std::vector<ObjectKey>> touched_;  ///< one entry per revision, the latest at the back
};

}  // namespace cairnhollow::declared::config
