// Which objects each of the latest revisions touched, so that a follower that is a little behind can be
// sent just those.
#pragma once

#include <cereal/types/deque.hpp>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <vector>

#include "declared/config/objects.h"

namespace cairnhollow::declared::config {

/// Bounded: keeps the latest kMaximumRevisions revisions and, of them, at most about kMaximumKeys keys.
/// Holds keys only; the content of an object is what is in force now.
class ChangeHistory {
 public:
  static constexpr std::size_t kMaximumRevisions = 4096;
  static constexpr std::size_t kMaximumKeys = 65536;

  /// Revisions come without gaps: `revision` is one above the last one recorded.
  void record(std::uint64_t revision, std::vector<ObjectKey> touched);
  /// The objects touched after `revision`; empty optional when that is no longer kept.
  [[nodiscard]] std::optional<std::set<ObjectKey>> touched_since(std::uint64_t revision) const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(last_revision_, key_count_, touched_);
  }

 private:
  std::uint64_t last_revision_ = 0;
  std::uint64_t key_count_ = 0;
  std::deque<std::vector<ObjectKey>> touched_;  ///< one entry a revision, the last one at the back
};

}  // namespace cairnhollow::declared::config
