#include "declared/config/change_history.h"

namespace cairnhollow::declared::config {

void ChangeHistory::record(std::uint64_t revision, std::vector<ObjectKey> touched) {
  last_revision_ = revision;
  key_count_ += touched.size();
  touched_.push_back(std::move(touched));
  // The newest revision is always kept, however many objects it touched.
  while (touched_.size() > 1 && (touched_.size() > kMaximumRevisions || key_count_ > kMaximumKeys)) {
    key_count_ -= touched_.front().size();
    touched_.pop_front();
  }
}

std::optional<std::set<ObjectKey>> ChangeHistory::touched_since(std::uint64_t revision) const {
  if (revision > last_revision_) return std::nullopt;
  const std::uint64_t missing = last_revision_ - revision;
  if (missing > touched_.size()) return std::nullopt;
  std::set<ObjectKey> keys;
  for (auto entry = touched_.end() - static_cast<std::ptrdiff_t>(missing); entry != touched_.end(); ++entry) {
    keys.insert(entry->begin(), entry->end());
  }
  return keys;
}

}  // namespace cairnhollow::declared::config
