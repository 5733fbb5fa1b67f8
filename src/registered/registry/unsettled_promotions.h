// Promotion requests that may still take effect at their backends.
//
// Invariant: all unsettled attempts of a group name the same backend. Whichever of them arrives, and
// whenever, leads to the same primary. An attempt is therefore recorded before its request is sent, and
// settled only on evidence that it cannot take effect any more.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "registered/registry/model.h"
#include "wire/format.h"

namespace cairnhollow::registered::registry {

/// A promotion request that a control node may send or has sent, and whose outcome is not known.
struct PromotionAttempt {
  GroupName group;
  BackendName backend;
  NodeName holder;            ///< control node that requests it
  std::uint64_t fencing = 0;  ///< consensus term in which it is requested
  std::uint64_t number = 0;   ///< counts the holder's attempts in that term
  std::uint64_t epoch = 0;    ///< epoch of the close that it follows; never 0
  bool operator==(const PromotionAttempt&) const = default;
  /// Returns true if both describe the same request: a holder gives each of its attempts in a consensus term
  /// another number.
  [[nodiscard]] bool has_same_identity(const PromotionAttempt& other) const {
    return group == other.group && holder == other.holder && fencing == other.fencing &&
           number == other.number;
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(group, backend, holder, fencing, number);
    // Every attempt has an epoch, so none is written in a format that earlier builds read.
    wire::since(archive, wire::kPromotionsFormat, epoch, std::uint64_t{0});
  }
};

/// Part of the replicated state: deterministic. Bounded by kMaxAttemptsPerGroup for each group.
class UnsettledPromotions {
 public:
  /// Maximum number of unsettled attempts of one group. Reached only if their outcomes stay unknown while new
  /// ones are made.
  static constexpr std::size_t kMaxAttemptsPerGroup = 32;

  /// The group's unsettled attempts in the order in which they were recorded; empty if there are none.
  [[nodiscard]] const std::vector<PromotionAttempt>& of(const GroupName& group) const;
  /// The unsettled attempts of all groups, ordered by group.
  [[nodiscard]] std::vector<PromotionAttempt> all() const;
  [[nodiscard]] std::size_t size() const;
  /// Returns true if exactly this attempt is recorded.
  [[nodiscard]] bool contains(const PromotionAttempt& attempt) const;
  /// The backend that the group's unsettled attempts name, valid until the next change; null if there are
  /// none.
  [[nodiscard]] const BackendName* backend_of(const GroupName& group) const;
  /// Returns true if an unsettled attempt may make a backend other than `backend` the group's primary.
  [[nodiscard]] bool excludes(const GroupName& group, const BackendName& backend) const;

  /// Records the attempt. Rejects it, returning false, if an unsettled attempt of the group names another
  /// backend or has the same identity, or if the group has kMaxAttemptsPerGroup of them.
  bool begin(const PromotionAttempt& attempt);
  /// Removes the attempts, of any group, that are recorded exactly as given. Returns true if there was one.
  bool settle(const std::vector<PromotionAttempt>& attempts);

  template <class Archive>
  void serialize(Archive& archive) {
    archive(attempts_);
  }
  bool operator==(const UnsettledPromotions&) const = default;

 private:
  bool settle_one(const PromotionAttempt& attempt);

  std::map<GroupName, std::vector<PromotionAttempt>> attempts_;  ///< without groups that have none
};

}  // namespace cairnhollow::registered::registry
