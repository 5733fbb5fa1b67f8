// What a follower holds: the configuration in force, the groups' primaries and the serving lease.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "declared/config/objects.h"
#include "declared/follow/messages.h"

namespace cairnhollow::declared::follow {

/// A follower's copy of the configuration. `revision` and each group's term only grow.
struct ServingConfiguration {
  std::uint64_t revision = 0;  ///< complete up to here; 0: nothing received yet
  std::map<config::ObjectKey, config::StoredObject> objects;
  std::map<GroupName, GroupState> groups;
  std::set<std::string> leaving;  ///< machines that the platform lists as leaving
  TimePoint lease_deadline{};     ///< work may be taken strictly before this; the zero value: never
  bool reads_updates = true;      ///< false: only revision and lease are kept (scale runs)
};

/// What an answer changed.
struct AnswerEffect {
  bool configuration = false;
  bool snapshot = false;  ///< the configuration came whole
  bool groups = false;
  bool leaving = false;
  std::vector<config::ObjectKey> touched;  ///< objects written or deleted; empty with a snapshot
  std::vector<GroupName> touched_groups;   ///< groups whose state is newer
  [[nodiscard]] bool any() const { return configuration || groups || leaving; }
};

/// Takes in one answer to a question asked at `asked_at`. False, with nothing changed, when the answer is
/// a refusal (its reason is passed on) or would take the revision back (kConflict).
bool accept_answer(ServingConfiguration& current, const FollowAnswer& answer, TimePoint asked_at,
                   AnswerEffect& effect, Reason& reason);

/// Takes in a group's state when it is newer: a higher term, or the primary of a term known without one.
bool accept_group_state(std::map<GroupName, GroupState>& groups, const GroupState& state);

}  // namespace cairnhollow::declared::follow
