// Which objects each batch of changes touched that a relay took in. Unlike config::ChangeHistory, a batch may
// span several revisions.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <vector>

#include "declared/config/objects.h"

namespace cairnhollow::declared::control {

/// Bounded: old batches are dropped once more than kMaximumKeys objects are named.
class BatchHistory {
 public:
  static constexpr std::size_t kMaximumKeys = 65536;

  /// `from` is the revision before the batch, `to` the one after it.
  void record(std::uint64_t from, std::uint64_t to, std::vector<config::ObjectKey> touched);
  /// Everything before `revision` is unknown from now on.
  void restart(std::uint64_t revision);
  /// The objects touched after `revision`, and perhaps some that were not; empty when no longer kept.
  [[nodiscard]] std::optional<std::set<config::ObjectKey>> touched_since(std::uint64_t revision) const;

 private:
  struct Batch {
    std::uint64_t to = 0;
    std::vector<config::ObjectKey> touched;
  };

  std::uint64_t known_from_ = 0;  ///< what came after this revision is known
  std::uint64_t last_ = 0;
  std::deque<Batch> batches_;  ///< ascending
  std::size_t key_count_ = 0;
};

}  // namespace cairnhollow::declared::control
