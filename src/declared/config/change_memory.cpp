#include "declared/config/change_memory.h"

#include <fmt/format.h>

namespace cairnhollow::declared::config {

const DecidedChange* ChangeMemory::find(const std::string& change_id) const {
  const auto found = changes_.find(change_id);
  return found == changes_.end() ? nullptr : &found->second;
}

void ChangeMemory::remember(const std::string& change_id, DecidedChange change) {
  auto& order = change.outcome.accepted ? accepted_ : refused_;
  order.push_back(change_id);
  changes_.emplace(change_id, std::move(change));
  if (accepted_.size() > kMaximumAccepted) {
    changes_.erase(accepted_.front());
    accepted_.pop_front();
    ++evicted_up_to_;
  }
  if (refused_.size() > kMaximumRefused) {
    changes_.erase(refused_.front());
    refused_.pop_front();
  }
}

std::string ChangeMemory::author_of(std::uint64_t revision) const {
  if (revision <= evicted_up_to_ || revision > evicted_up_to_ + accepted_.size()) {
    return "an earlier change";
  }
  const std::string& id = accepted_[revision - evicted_up_to_ - 1];
  const std::string& author = changes_.at(id).operator_name;
  return fmt::format("{} (change {})", author.empty() ? "an unnamed operator" : author, id);
}

}  // namespace cairnhollow::declared::config
