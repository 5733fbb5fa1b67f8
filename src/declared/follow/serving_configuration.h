// State held by a follower: the configuration in force, the groups' primaries and the serving lease.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "declared/config/objects.h"
#include "declared/follow/messages.h"

namespace cairnhollow::declared::follow {

/// A follower's copy of the configuration. `revision` and the term of each group never decrease.
struct ServingConfiguration {
  std::uint64_t revision = 0;  ///< complete up to this revision; 0: nothing received yet
  std::map<config::ObjectKey, config::StoredObject> objects;
  std::map<GroupName, GroupState> groups;
  std::set<std::string> leaving;  ///< machines that the platform lists as leaving
  TimePoint lease_deadline{};     ///< new work may be accepted strictly before this time; zero: never
  bool decodes_updates = true;    ///< false: only revision and lease are kept (scale runs)
};

/// The changes that an answer made.
struct AnswerEffect {
  bool configuration = false;
  bool snapshot = false;  ///< the configuration was replaced by a snapshot
  bool groups = false;
  bool leaving = false;
  std::vector<config::ObjectKey> touched;  ///< objects written or deleted; empty for a snapshot
  std::vector<GroupName> touched_groups;   ///< groups whose state changed
  [[nodiscard]] bool any() const { return configuration || groups || leaving; }
};

/// Applies an answer to a request sent at `sent_at`. Returns false and changes nothing if the answer is a
/// refusal (its reason is passed on), is malformed or would decrease the revision (kConflict).
bool accept_answer(ServingConfiguration& current, const FollowAnswer& answer, TimePoint sent_at,
                   AnswerEffect& effect, Reason& reason);

/// Applies a group's state if it is newer: a higher term, or the primary of the current term if none was
/// known. Returns whether it was applied.
bool accept_group_state(std::map<GroupName, GroupState>& groups, const GroupState& state);

}  // namespace cairnhollow::declared::follow
