// Outcomes of the latest changes by change id, so that a change that is sent again because its answer was
// lost gets its first answer.
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

/// 128 bits of hash over a whole request, so that two different requests never look like a resend of one.
struct ChangeFingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  bool operator==(const ChangeFingerprint&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(high, low);
  }
};

/// What is kept of one decided change.
struct RememberedChange {
  ChangeFingerprint fingerprint;
  std::string operator_name;
  ChangeOutcome outcome;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(fingerprint, operator_name, outcome);
  }
};

/// Bounded: accepted and refused changes each forget their oldest first, so that a flood of refused ones
/// can't push out an accepted one. A refused change that is forgotten may be decided anew, since it never
/// ran; an accepted one may not, and may_have_forgotten() tells when that can't be ruled out.
class ChangeMemory {
 public:
  static constexpr std::size_t kMaximumAccepted = 4096;
  static constexpr std::size_t kMaximumRefused = 4096;

  [[nodiscard]] const RememberedChange* find(const std::string& change_id) const;
  /// `change_id` is not known yet. The revisions of accepted changes come without gaps.
  void remember(const std::string& change_id, RememberedChange change);
  /// True when a change whose id was chosen at `revision` may have been accepted and forgotten since.
  [[nodiscard]] bool may_have_forgotten(std::uint64_t revision) const { return revision < forgotten_up_to_; }
  /// Who wrote `revision`: "alice (change 4711)"; "an earlier change" once that is forgotten.
  [[nodiscard]] std::string author_of(std::uint64_t revision) const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(changes_, accepted_, refused_, forgotten_up_to_);
  }

 private:
  std::map<std::string, RememberedChange> changes_;
  std::deque<std::string> accepted_;   ///< ids by revision, from forgotten_up_to_ + 1 on
  std::deque<std::string> refused_;    ///< ids, the oldest first
  std::uint64_t forgotten_up_to_ = 0;  ///< the changes of this revision and of those below are forgotten
};

}  // namespace cairnhollow::declared::config
