#include "declared/config/label_index.h"

#include <algorithm>

namespace cairnhollow::declared::config {

std::vector<LabelRequirement> requirements_of(const Selector& selector) {
  std::vector<LabelRequirement> requirements;
  for (const auto& [key, value] : selector.match_labels.entries) requirements.push_back({key, {value}});
  for (const auto& expression : selector.match_expressions) {
    if (expression.op == SelectorOperator::kIn) requirements.push_back({expression.key, expression.values});
  }
  return requirements;
}

namespace {

/// Returns the requirement with the fewest matching entries; std::nullopt if the selector requires no label.
std::optional<LabelRequirement> most_selective_requirement(const Selector& selector,
                                                           const LabelPostings& postings) {
  const auto requirements = requirements_of(selector);
  std::optional<LabelRequirement> rarest;
  std::size_t least = 0;
  for (const auto& requirement : requirements) {
    const std::size_t count = postings.count(requirement);
    if (rarest && count >= least) continue;
    rarest = requirement;
    least = count;
  }
  return rarest;
}

}  // namespace

void LabelPostings::add(const std::string& key, const std::string& value, const StoredObject* object) {
  by_label_[key][value].insert(object);
}

void LabelPostings::remove(const std::string& key, const std::string& value, const StoredObject* object) {
  const auto values = by_label_.find(key);
  if (values == by_label_.end()) return;
  const auto objects = values->second.find(value);
  if (objects == values->second.end()) return;
  objects->second.erase(object);
  if (!objects->second.empty()) return;
  values->second.erase(objects);
  if (values->second.empty()) by_label_.erase(values);
}

const ObjectSet* LabelPostings::find(const std::string& key, const std::string& value) const {
  const auto values = by_label_.find(key);
  if (values == by_label_.end()) return nullptr;
  const auto objects = values->second.find(value);
  return objects == values->second.end() ? nullptr : &objects->second;
}

std::size_t LabelPostings::count(const LabelRequirement& requirement) const {
  std::size_t count = 0;
  for (const auto& value : requirement.values) {
    const ObjectSet* objects = find(requirement.key, value);
    if (objects != nullptr) count += objects->size();
  }
  return count;
}

void LabelIndex::add(const StoredObject* object) {
  all_.insert(object);
  for (const auto& [key, value] : object->object.labels.entries) postings_.add(key, value, object);
}

void LabelIndex::remove(const StoredObject* object) {
  all_.erase(object);
  for (const auto& [key, value] : object->object.labels.entries) postings_.remove(key, value, object);
}

std::vector<const ObjectSet*> LabelIndex::candidates_of(const Selector& selector) const {
  const auto requirement = most_selective_requirement(selector, postings_);
  if (!requirement) return {&all_};
  std::vector<const ObjectSet*> candidates;
  for (const auto& value : requirement->values) {
    const ObjectSet* objects = postings_.find(requirement->key, value);
    if (objects != nullptr) candidates.push_back(objects);
  }
  return candidates;
}

ObjectSet LabelIndex::selected_by(const Selector& selector) const {
  ObjectSet selected;
  for (const ObjectSet* candidates : candidates_of(selector)) {
    for (const StoredObject* candidate : *candidates) {
      if (selector.matches(candidate->object.labels)) selected.insert(selected.end(), candidate);
    }
  }
  return selected;
}

const StoredObject* LabelIndex::find_selected(const Selector& selector, const Accepts& accepts) const {
  for (const ObjectSet* candidates : candidates_of(selector)) {
    for (const StoredObject* candidate : *candidates) {
      if (accepts(*candidate) && selector.matches(candidate->object.labels)) return candidate;
    }
  }
  return nullptr;
}

void SelectorIndex::add(const StoredObject* owner) {
  const auto requirement = most_selective_requirement(selector_of_(*owner), postings_);
  if (!requirement) {
    unconditional_.insert(owner);
    return;
  }
  for (const auto& value : requirement->values) postings_.add(requirement->key, value, owner);
}

void SelectorIndex::remove(const StoredObject* owner) {
  unconditional_.erase(owner);
  // The requirement chosen by add() depended on the index at that time, so try all of them.
  for (const auto& requirement : requirements_of(selector_of_(*owner))) {
    for (const auto& value : requirement.values) postings_.remove(requirement.key, value, owner);
  }
}

ObjectSet SelectorIndex::selecting(const LabelSet& labels) const {
  ObjectSet selecting;
  const auto take = [&](const ObjectSet& candidates) {
    for (const StoredObject* candidate : candidates) {
      if (selector_of_(*candidate).matches(labels)) selecting.insert(candidate);
    }
  };
  take(unconditional_);
  for (const auto& [key, value] : labels.entries) {
    const ObjectSet* candidates = postings_.find(key, value);
    if (candidates != nullptr) take(*candidates);
  }
  return selecting;
}

}  // namespace cairnhollow::declared::config
