// Former members of database groups whose logs no remaining member is known to hold.
//
// Invariant: with at least one synchronous replica, every commit acknowledged in a term of the group is held
// by two of these: the registered incarnations, and the departed ones recorded here. An incarnation is
// therefore recorded by the command that removes it, and struck off only on evidence (see MemberSettlement).
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "registered/registry/model.h"
#include "wire/format.h"

namespace cairnhollow::registered::registry {

/// An incarnation that is no longer registered. After its deregistration it may still run, receive commits
/// and count as a synchronous replica.
struct DepartedMember {
  BackendIncarnation incarnation;
  Endpoint endpoint;
  /// Fleet revision of its removal or, if later, of its known end. Evidence gathered before then does not
  /// count.
  std::uint64_t revision = 0;
  /// The term that it led as the group's primary when it departed; 0: it was a replica.
  std::uint64_t led_term = 0;
  /// Another backend has taken its address or its name since. Otherwise it may still be running.
  bool has_ended = false;
  bool operator==(const DepartedMember&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(incarnation, endpoint, revision, led_term, has_ended);
  }
};

/// Part of the replicated state: deterministic. Bounded by the addresses that no other backend has taken: of
/// the members that have ended, one entry stands for all replicas, since one evidence settles them all, and
/// one for the primary of the latest term, which is not compared when that term closes.
class DepartedMembers {
 public:
  /// The group's departed members; empty if the registered members are known to hold all that they held.
  [[nodiscard]] const std::vector<DepartedMember>& of(const GroupName& group) const;
  [[nodiscard]] std::size_t size() const;
  /// The groups that have departed members.
  [[nodiscard]] std::vector<GroupName> groups() const;
  void record(const GroupName& group, DepartedMember departed);
  /// Records that `entry` registered at `revision`, so that what ran at its address before has ended. A
  /// backend that deregistered passes its log to the group's next backend at its address, which then stands
  /// for it, unless backends report start times: then an incarnation holds nothing of former ones.
  void record_registration(const BackendEntry& entry, std::uint64_t revision);
  /// Strikes off the given members of the group, except those that have changed since.
  void settle(const GroupName& group, const std::vector<DepartedMember>& settled);

  template <class Archive>
  void serialize(Archive& archive) {
    archive(departed_);
  }
  bool operator==(const DepartedMembers&) const = default;

 private:
  /// Merges the entries of members that have ended.
  static void merge_ended(std::vector<DepartedMember>& members);

  std::map<GroupName, std::vector<DepartedMember>> departed_;  ///< without groups that have none
};

}  // namespace cairnhollow::registered::registry
