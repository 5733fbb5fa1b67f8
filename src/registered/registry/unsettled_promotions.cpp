#include "registered/registry/unsettled_promotions.h"

#include <algorithm>

namespace cairnhollow::registered::registry {

const std::vector<PromotionAttempt>& UnsettledPromotions::of(const GroupName& group) const {
  static const std::vector<PromotionAttempt> none;
  const auto found = attempts_.find(group);
  return found == attempts_.end() ? none : found->second;
}

std::vector<PromotionAttempt> UnsettledPromotions::all() const {
  std::vector<PromotionAttempt> all;
  for (const auto& [group, attempts] : attempts_) all.insert(all.end(), attempts.begin(), attempts.end());
  return all;
}

std::size_t UnsettledPromotions::size() const {
  std::size_t size = 0;
  for (const auto& [group, attempts] : attempts_) size += attempts.size();
  return size;
}

bool UnsettledPromotions::contains(const PromotionAttempt& attempt) const {
  const std::vector<PromotionAttempt>& recorded = of(attempt.group);
  return std::find(recorded.begin(), recorded.end(), attempt) != recorded.end();
}

const BackendName* UnsettledPromotions::backend_of(const GroupName& group) const {
  const std::vector<PromotionAttempt>& recorded = of(group);
  return recorded.empty() ? nullptr : &recorded.front().backend;
}

bool UnsettledPromotions::excludes(const GroupName& group, const BackendName& backend) const {
  const BackendName* recorded = backend_of(group);
  return recorded != nullptr && *recorded != backend;
}

bool UnsettledPromotions::begin(const PromotionAttempt& attempt) {
  const std::vector<PromotionAttempt>& recorded = of(attempt.group);
  if (recorded.size() >= kMaxAttemptsPerGroup || excludes(attempt.group, attempt.backend)) return false;
  const auto is_same = [&](const PromotionAttempt& other) { return other.has_same_identity(attempt); };
  if (std::any_of(recorded.begin(), recorded.end(), is_same)) return false;
  attempts_[attempt.group].push_back(attempt);
  return true;
}

bool UnsettledPromotions::settle(const std::vector<PromotionAttempt>& attempts) {
  bool changed = false;
  for (const PromotionAttempt& attempt : attempts) changed = settle_one(attempt) || changed;
  return changed;
}

bool UnsettledPromotions::settle_one(const PromotionAttempt& attempt) {
  const auto found = attempts_.find(attempt.group);
  if (found == attempts_.end() || std::erase(found->second, attempt) == 0) return false;
  if (found->second.empty()) attempts_.erase(found);
  return true;
}

}  // namespace cairnhollow::registered::registry
