// Label indexes that avoid scanning all objects: objects matched by a selector, and objects whose selectors
// match a set of labels.
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
/// Objects of one kind, ordered by name so that results do not depend on addresses.
using ObjectSet = std::set<const StoredObject*, OrderByName>;

/// A label that must have one of several values.
struct LabelRequirement {
  std::string key;
  std::vector<std::string> values;
};
/// Returns every `matchLabels` entry and every `In` expression; empty if the selector requires no label
/// value.
std::vector<LabelRequirement> requirements_of(const Selector& selector);

/// Sets of objects by label.
class LabelPostings {
 public:
  void add(const std::string& key, const std::string& value, const StoredObject* object);
  void remove(const std::string& key, const std::string& value, const StoredObject* object);
  /// Returns null if no object has the label.
  [[nodiscard]] const ObjectSet* find(const std::string& key, const std::string& value) const;
  /// Returns the number of entries under the values that a requirement allows.
  [[nodiscard]] std::size_t count(const LabelRequirement& requirement) const;

 private:
  std::map<std::string, std::map<std::string, ObjectSet>> by_label_;
};

/// Index of objects of one kind by their labels. Indexed objects are not owned and must not move.
class LabelIndex {
 public:
  void add(const StoredObject* object);
  void remove(const StoredObject* object);
  /// Returns all objects matched by the selector. Scans only the objects with its rarest required label, or
  /// all objects if it requires none.
  [[nodiscard]] ObjectSet selected_by(const Selector& selector) const;
  /// Returns an object matched by the selector for which `accepts` returns true; the same on every node.
  /// Returns null if there is none. `accepts` is called before the selector is evaluated.
  using Accepts = std::function<bool(const StoredObject& object)>;
  [[nodiscard]] const StoredObject* find_selected(const Selector& selector, const Accepts& accepts) const;

 private:
  /// Returns sets that together contain all objects the selector may match.
  [[nodiscard]] std::vector<const ObjectSet*> candidates_of(const Selector& selector) const;

  ObjectSet all_;
  LabelPostings postings_;
};

/// Index of objects of one kind by the selector that each of them holds.
class SelectorIndex {
 public:
  using SelectorOf = const Selector& (*)(const StoredObject&);
  explicit SelectorIndex(SelectorOf selector_of) : selector_of_(selector_of) {}

  void add(const StoredObject* owner);
  void remove(const StoredObject* owner);
  /// Returns all owners whose selector matches `labels`. Scans only the owners that require one of these
  /// labels and those that require none.
  [[nodiscard]] ObjectSet selecting(const LabelSet& labels) const;

 private:
  SelectorOf selector_of_;
  LabelPostings postings_;  ///< each owner is listed under one requirement of its selector
  ObjectSet unconditional_;
};

}  // namespace cairnhollow::declared::config
