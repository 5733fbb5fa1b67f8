#include "declared/follow/serving_configuration.h"

#include <fmt/format.h>

#include <algorithm>

namespace cairnhollow::declared::follow {

namespace {

void apply_configuration(ServingConfiguration& current, config::ConfigChanges changes, AnswerEffect& effect) {
  for (const auto& key : changes.deletions) {
    current.objects.erase(key);
    effect.touched.push_back(key);
  }
  for (auto& stored : changes.upserts) {
    const auto key = stored.object.key();
    effect.touched.push_back(key);
    current.objects.insert_or_assign(key, std::move(stored));
  }
}

void apply_configuration(ServingConfiguration& current, config::ConfigSnapshot snapshot,
                         AnswerEffect& /*effect*/) {
  current.objects.clear();
  for (auto& stored : snapshot.objects) {
    const auto key = stored.object.key();
    current.objects.insert_or_assign(key, std::move(stored));
  }
}

void apply_news(ServingConfiguration& current, const FollowUpdate& update, AnswerEffect& effect) {
  for (const auto& state : update.groups) {
    if (!accept_group_state(current.groups, state)) continue;
    effect.groups = true;
    effect.touched_groups.push_back(state.group);
  }
  std::set<std::string> leaving(update.leaving.begin(), update.leaving.end());
  effect.leaving = leaving != current.leaving;
  current.leaving = std::move(leaving);
}

}  // namespace

bool accept_group_state(std::map<GroupName, GroupState>& groups, const GroupState& state) {
  if (state.term == 0) return false;
  auto& known = groups[state.group];
  const bool newer_term = state.term > known.term;
  const bool primary_learned = state.term == known.term && known.primary.empty() && !state.primary.empty();
  if (!newer_term && !primary_learned) return false;
  known = state;
  return true;
}

bool accept_answer(ServingConfiguration& current, const FollowAnswer& answer, TimePoint sent_at,
                   AnswerEffect& effect, Reason& reason) {
  if (answer.refusal) {
    reason = *answer.refusal;
    return false;
  }
  if (answer.revision < current.revision) {
    reason = Reason{ReasonCode::kConflict, "follow", "",
                    fmt::format("the control node answered with revision {}, but revision {} is already held",
                                answer.revision, current.revision)};
    return false;
  }
  FollowUpdate update;
  if (!answer.update.empty() && !current.decodes_updates) {
    if (current.revision == 0) update.configuration = config::ConfigSnapshot{};
  } else if (!answer.update.empty()) {
    auto decoded = wire::decode<FollowUpdate>(answer.update, reason);
    if (!decoded) return false;
    update = std::move(*decoded);
  } else if (answer.revision != current.revision) {
    reason = Reason{ReasonCode::kCorrupt, "follow", "", "the answer has a new revision but no changes"};
    return false;
  }
  effect.configuration = answer.revision > current.revision;
  effect.snapshot =
      effect.configuration && std::holds_alternative<config::ConfigSnapshot>(update.configuration);
  if (effect.configuration) {
    std::visit([&](auto& content) { apply_configuration(current, std::move(content), effect); },
               update.configuration);
    current.revision = answer.revision;
  }
  if (update.has_news) apply_news(current, update, effect);
  current.lease_deadline = std::max(current.lease_deadline, sent_at + answer.lease);
  return true;
}

}  // namespace cairnhollow::declared::follow
