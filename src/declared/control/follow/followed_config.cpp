#include "declared/control/follow/followed_config.h"

namespace cairnhollow::declared::control {

void FollowedConfig::record_answer(const follow::AnswerEffect& effect) {
  if (!effect.configuration) return;
  const std::uint64_t revision = client_.current().revision;
  if (effect.snapshot) {
    history_.reset(revision);
  } else {
    history_.record(recorded_revision_, revision, effect.touched);
  }
  recorded_revision_ = revision;
  changed_.notify_all();
}

std::vector<config::StoredObject> FollowedConfig::objects() const {
  std::vector<config::StoredObject> all;
  all.reserve(client_.current().objects.size());
  for (const auto& [key, stored] : client_.current().objects) all.push_back(stored);
  return all;
}

std::optional<config::ConfigChanges> FollowedConfig::changes_since(std::uint64_t revision) const {
  const auto touched = history_.touched_since(revision);
  if (!touched) return std::nullopt;
  config::ConfigChanges changes;
  for (const auto& key : *touched) {
    const auto stored = client_.current().objects.find(key);
    if (stored == client_.current().objects.end()) {
      changes.deletions.push_back(key);
    } else {
      changes.upserts.push_back(stored->second);
    }
  }
  return changes;
}

}  // namespace cairnhollow::declared::control
