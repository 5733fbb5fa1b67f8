// Finds objects by label without looking at all of them: objects that a selector selects, and objects whose
// selectors select a set of labels.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "declared/config/objects.h"

namespace cairnhollow::declared::config {

struct OrderByName {
  bool operator()(const StoredObject* left, const StoredObject* right) const {
    return left->object.name < right->object.name;
  }
};
/// Objects of one kind, by name; so that what is found does not depend on addresses.
using ObjectSet = std::set<const StoredObject*, OrderByName>;

/// A label that a selector requires to have one of some values.
struct LabelRequirement {
  std::string key;
  std::vector<std::string> values;
};
/// Every `matchLabels` entry and every `In` expression; empty when the selector requires no label.
std::vector<LabelRequirement> requirements_of(const Selector& selector);

/// Sets of objects by label.
class LabelPostings {
 public:
  void add(const std::string& key, const std::string& value, const StoredObject* object);
  void remove(const std::string& key, const std::string& value, const StoredObject* object);
  /// Null when there are none.
  [[nodiscard]] const ObjectSet* find(const std::string& key, const std::string& value) const;
  /// How many objects stand under the values that a requirement allows.
  [[nodiscard]] std::size_t count(const LabelRequirement& requirement) const;

 private:
  std::map<std::string, std::map<std::string, ObjectSet>> by_label_;
};

/// Objects of one kind by their own labels. The objects stay where they are while they are in the index.
class LabelIndex {
 public:
  void add(const StoredObject* object);
  void remove(const StoredObject* object);
  /// All objects that the selector selects. Looks at the objects under the rarest label that it requires; at
  /// all of them when it requires none.
  [[nodiscard]] ObjectSet selected_by(const Selector& selector) const;
  /// One object that the selector selects and `accepts` accepts, the same on every node; null when there is
  /// none. `accepts` is asked first.
  using Accepts = std::function<bool(const StoredObject& object)>;
  [[nodiscard]] const StoredObject* find_selected(const Selector& selector, const Accepts& accepts) const;

 private:
  /// The sets that hold all objects which the selector may select.
  [[nodiscard]] std::vector<const ObjectSet*> candidates_of(const Selector& selector) const;

  ObjectSet all_;
  LabelPostings postings_;
};

/// Objects of one kind by a selector that each of them holds.
class SelectorIndex {
 public:
  using SelectorOf = const Selector& (*)(const StoredObject&);
  explicit SelectorIndex(SelectorOf selector_of) : selector_of_(selector_of) {}

  void add(const StoredObject* owner);
  void remove(const StoredObject* owner);
  /// All owners whose selector selects `labels`. Looks at the owners that require one of the labels, and at
  /// those that require none at all.
  [[nodiscard]] ObjectSet selecting(const LabelSet& labels) const;

 private:
  SelectorOf selector_of_;
  LabelPostings postings_;  ///< each owner under one requirement of its selector
  ObjectSet unconditional_;
};

}  // namespace cairnhollow::declared::config
