#include "declared/control/follow/update_encoder.h"

#include "declared/follow/messages.h"
#include "wire/codec.h"

namespace cairnhollow::declared::control {

const std::string& UpdateEncoder::update_since(std::uint64_t revision, std::uint64_t news_version) {
  const StateVersion current{configuration_.revision(), directory_.version()};
  if (current != current_) {
    updates_.clear();
    current_ = current;
  }
  const StateVersion from{revision, news_version};
  const auto known = updates_.find(from);
  if (known != updates_.end()) return known->second;
  std::string update = from == current ? std::string() : encode_since(from);
  return updates_.emplace(from, std::move(update)).first->second;
}

std::string UpdateEncoder::encode_since(const StateVersion& from) {
  ++encoded_;
  follow::FollowUpdate update;
  if (from.revision != current_.revision) {
    auto changes = from.revision == 0 ? std::nullopt : configuration_.changes_since(from.revision);
    if (changes) {
      update.configuration = std::move(*changes);
    } else {
      update.configuration = config::ConfigSnapshot{configuration_.objects()};
    }
  }
  if (from.news_version != current_.news_version) {
    update.has_news = true;
    update.groups = directory_.changed_since(from.news_version);
    update.leaving.assign(directory_.leaving().begin(), directory_.leaving().end());
  }
  return wire::encode_from(update, configuration_.feature_level());
}

}  // namespace cairnhollow::declared::control
