// Records which objects each batch of changes received by a relay touched. Unlike in config::ChangeHistory, a
// batch may span several revisions.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <vector>

#include "declared/config/objects.h"

namespace cairnhollow::declared::control {

/// Bounded: the oldest batches are dropped once the history holds more than kMaximumKeys object keys.
class BatchHistory {
 public:
  static constexpr std::size_t kMaximumKeys = 65536;

  /// Records the changes after revision `from` up to and including revision `to`.
  void record(std::uint64_t from, std::uint64_t to, std::vector<config::ObjectKey> touched);
  /// Clears the history; changes up to and including `revision` are unknown from now on.
  void reset(std::uint64_t revision);
  /// Returns a superset of the objects touched after `revision`, or std::nullopt if `revision` is outside the
  /// retained range.
  [[nodiscard]] std::optional<std::set<config::ObjectKey>> touched_since(std::uint64_t revision) const;

 private:
  struct Batch {
    std::uint64_t to = 0;
    std::vector<config::ObjectKey> touched;
  };

  std::uint64_t base_revision_ = 0;  ///< changes after this revision are known
  std::uint64_t last_revision_ = 0;
  std::deque<Batch> batches_;  ///< in ascending order of revision
  std::size_t key_count_ = 0;
};

}  // namespace cairnhollow::declared::control
