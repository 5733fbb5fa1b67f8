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
  const auto pending = std::find_if(recorded.begin(), recorded.end(),
                                    [](const PromotionAttempt& attempt) { return !attempt.is_withdrawn; });
  return pending == recorded.end() ? nullptr : &pending->backend;
}

bool UnsettledPromotions::excludes(const GroupName& group, const BackendName& backend) const {
  const std::vector<PromotionAttempt>& recorded = of(group);
  return std::any_of(recorded.begin(), recorded.end(),
                     [&](const PromotionAttempt& attempt) { return attempt.backend != backend; });
}

bool UnsettledPromotions::awaits_answer(const GroupName& group) const {
  const std::vector<PromotionAttempt>& recorded = of(group);
  return !recorded.empty() &&
         std::all_of(recorded.begin(), recorded.end(),
                     [](const PromotionAttempt& attempt) { return attempt.is_withdrawn; });
}

std::vector<GroupName> UnsettledPromotions::groups() const {
  std::vector<GroupName> groups;
  for (const auto& [group, attempts] : attempts_) groups.push_back(group);
  return groups;
}

bool UnsettledPromotions::begin(const PromotionAttempt& attempt) {
  const std::vector<PromotionAttempt>& recorded = of(attempt.group);
  const BackendName* pending = backend_of(attempt.group);
  if (recorded.size() >= kMaxAttemptsPerGroup || (pending != nullptr && *pending != attempt.backend))
    return false;
  const auto is_same = [&](const PromotionAttempt& other) { return other.has_same_identity(attempt); };
  if (std::any_of(recorded.begin(), recorded.end(), is_same)) return false;
  attempts_[attempt.group].push_back(attempt);
  return true;
}

bool UnsettledPromotions::settle(const std::vector<PromotionAttempt>& attempts, bool answered) {
  bool changed = false;
  for (const PromotionAttempt& attempt : attempts) changed = settle_one(attempt, answered) || changed;
  return changed;
}

bool UnsettledPromotions::settle_one(const PromotionAttempt& attempt, bool answered) {
  const auto found = attempts_.find(attempt.group);
  if (found == attempts_.end()) return false;
  std::vector<PromotionAttempt>& recorded = found->second;
  const auto settled = std::find(recorded.begin(), recorded.end(), attempt);
  if (settled == recorded.end()) return false;
  const auto later = recorded.erase(settled);
  if (answered) {
    const auto is_withdrawn = [](const PromotionAttempt& other) { return other.is_withdrawn; };
    recorded.erase(std::remove_if(recorded.begin(), later, is_withdrawn), later);
  }
  if (recorded.empty()) attempts_.erase(found);
  return true;
}

void UnsettledPromotions::withdraw(const std::vector<PromotionAttempt>& attempts) {
  for (const PromotionAttempt& attempt : attempts) withdraw_one(attempt);
}

void UnsettledPromotions::withdraw_one(const PromotionAttempt& attempt) {
  const auto found = attempts_.find(attempt.group);
  if (found == attempts_.end()) return;
  std::vector<PromotionAttempt>& recorded = found->second;
  if (attempt.is_withdrawn || std::erase(recorded, attempt) == 0) return;
  // What settles the one that was withdrawn last settles those before it as well.
  std::erase_if(recorded, [&](const PromotionAttempt& other) {
    return other.is_withdrawn && other.backend == attempt.backend;
  });
  // Behind the attempts whose requests may have been handled before it arrived.
  recorded.push_back(attempt);
  recorded.back().is_withdrawn = true;
}

void UnsettledPromotions::withdraw_earlier(const NodeName& holder, std::uint64_t process,
                                           std::uint64_t last_fencing) {
  std::vector<PromotionAttempt> earlier = all();
  std::erase_if(earlier, [&](const PromotionAttempt& attempt) {
    return attempt.holder != holder || attempt.process == process || attempt.fencing > last_fencing;
  });
  withdraw(earlier);
}

void UnsettledPromotions::settle_ended(const GroupName& group, const BackendName& backend) {
  const auto found = attempts_.find(group);
  if (found == attempts_.end()) return;
  std::erase_if(found->second, [&](const PromotionAttempt& attempt) { return attempt.backend == backend; });
  if (found->second.empty()) attempts_.erase(found);
}

}  // namespace cairnhollow::registered::registry
