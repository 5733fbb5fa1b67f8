// Promotion requests that may still take effect at their backends.
//
// An attempt is recorded before its request is sent, and settled only on evidence that it cannot take effect
// any more. Invariants:
// - All attempts of a group whose requests may still arrive at the platform name the same backend. Whichever
//   of them takes effect, and whenever, leads to the same primary.
// - A group is opened only with the backend that all its unsettled attempts name.
//
// An attempt without an answer is first withdrawn: its connection has been reset, so that nothing more of it
// arrives. The platform may have received it before. It handles the requests for a group in the order in
// which it receives them, so a withdrawn attempt is settled by the answer to a later request, which may name
// another backend.
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
  std::uint64_t number = 0;   ///< counts the attempts of the holder's process
  std::uint64_t epoch = 0;    ///< epoch of the group when it was decided; never 0
  std::uint64_t process = 0;  ///< random identity of the holder's process
  bool is_withdrawn = false;  ///< its connection was reset: nothing of it arrives from now on
  bool operator==(const PromotionAttempt&) const = default;
  /// Returns true if both describe the same request: a holder gives each of its attempts in a consensus term
  /// another number.
  [[nodiscard]] bool has_same_identity(const PromotionAttempt& other) const {
    return group == other.group && holder == other.holder && fencing == other.fencing &&
           number == other.number;
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(group, backend, holder, fencing, number, process, is_withdrawn);
    // Every attempt has an epoch, so none is written in a format that earlier builds read.
    wire::since(archive, wire::kPromotionsFormat, epoch, std::uint64_t{0});
  }
};

/// Part of the replicated state: deterministic. Bounded by kMaxAttemptsPerGroup for each group. Of the
/// withdrawn attempts for one backend, the one that was withdrawn last stands for all.
class UnsettledPromotions {
 public:
  /// Maximum number of unsettled attempts of one group. Reached only if their outcomes stay unknown while new
  /// ones are made.
  static constexpr std::size_t kMaxAttemptsPerGroup = 32;

  /// The group's unsettled attempts in the order in which they were recorded or withdrawn; empty if there are
  /// none.
  [[nodiscard]] const std::vector<PromotionAttempt>& of(const GroupName& group) const;
  /// The unsettled attempts of all groups, ordered by group.
  [[nodiscard]] std::vector<PromotionAttempt> all() const;
  [[nodiscard]] std::size_t size() const;
  /// Returns true if exactly this attempt is recorded.
  [[nodiscard]] bool contains(const PromotionAttempt& attempt) const;
  /// The backend that those unsettled attempts name that are not withdrawn, valid until the next change; null
  /// if there are none.
  [[nodiscard]] const BackendName* backend_of(const GroupName& group) const;
  /// Returns true if an unsettled attempt may make a backend other than `backend` the group's primary.
  [[nodiscard]] bool excludes(const GroupName& group, const BackendName& backend) const;
  /// Returns true if the group has unsettled attempts and all of them are withdrawn: the answer to one more
  /// request settles them.
  [[nodiscard]] bool awaits_answer(const GroupName& group) const;
  /// The groups that have unsettled attempts.
  [[nodiscard]] std::vector<GroupName> groups() const;

  /// Records the attempt. Rejects it, returning false, if an unsettled attempt of the group names another
  /// backend and is not withdrawn, if one has the same identity, or if the group has kMaxAttemptsPerGroup of
  /// them.
  bool begin(const PromotionAttempt& attempt);
  /// Removes the attempts, of any group, that are recorded exactly as given. If they were `answered`, removes
  /// those of their groups as well that had been withdrawn when they were recorded. Returns true if anything
  /// changed.
  bool settle(const std::vector<PromotionAttempt>& attempts, bool answered = false);
  /// Records that the attempts, of any group, are withdrawn.
  void withdraw(const std::vector<PromotionAttempt>& attempts);
  /// As withdraw(), for the attempts that other processes of `holder` than `process` made in terms up to
  /// `last_fencing`.
  void withdraw_earlier(const NodeName& holder, std::uint64_t process, std::uint64_t last_fencing);
  /// Removes the attempts that name a backend that has ended for good.
  void settle_ended(const GroupName& group, const BackendName& backend);

  template <class Archive>
  void serialize(Archive& archive) {
    archive(attempts_);
  }
  bool operator==(const UnsettledPromotions&) const = default;

 private:
  bool settle_one(const PromotionAttempt& attempt, bool answered);
  void withdraw_one(const PromotionAttempt& attempt);

  std::map<GroupName, std::vector<PromotionAttempt>> attempts_;  ///< without groups that have none
};

}  // namespace cairnhollow::registered::registry
