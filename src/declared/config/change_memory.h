// Outcomes of the latest changes by change id, so that a change resent after its answer was lost gets the
// original answer.
#pragma once

#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "declared/config/change_outcome.h"

namespace cairnhollow::declared::config {

/// 128-bit hash of a whole request, so that two different requests are never taken for resends of one.
struct ChangeFingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  bool operator==(const ChangeFingerprint&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(high, low);
  }
};

/// The record kept of a decided change.
struct DecidedChange {
  ChangeFingerprint fingerprint;
  std::string operator_name;
  ChangeOutcome outcome;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(fingerprint, operator_name, outcome);
  }
};

/// Bounded: accepted and refused changes are evicted separately, oldest first, so that a flood of refused
/// changes cannot evict an accepted one. An evicted refused change may be decided again because it never took
/// effect; an accepted one may not, and may_have_evicted() reports when that cannot be ruled out.
class ChangeMemory {
 public:
  static constexpr std::size_t kMaximumAccepted = 4096;
  static constexpr std::size_t kMaximumRefused = 4096;

  [[nodiscard]] const DecidedChange* find(const std::string& change_id) const;
  /// `change_id` must not be recorded yet. Revisions of accepted changes must have no gaps.
  void remember(const std::string& change_id, DecidedChange change);
  /// Returns true if a change whose id was chosen at `revision` may have been accepted and evicted since.
  [[nodiscard]] bool may_have_evicted(std::uint64_t revision) const { return revision < evicted_up_to_; }
  /// Returns the author of `revision`, e.g. "alice (change 4711)"; "an earlier change" if it was evicted.
  [[nodiscard]] std::string author_of(std::uint64_t revision) const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(changes_, accepted_, refused_, evicted_up_to_);
  }

 private:
  std::map<std::string, DecidedChange> changes_;
  std::deque<std::string> accepted_;  ///< change ids by revision, starting at evicted_up_to_ + 1
  std::deque<std::string> refused_;   ///< change ids, oldest first
  std::uint64_t evicted_up_to_ = 0;   ///< accepted changes up to and including this revision are evicted
};

}  // namespace cairnhollow::declared::config
