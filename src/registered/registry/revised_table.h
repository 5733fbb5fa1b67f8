// A table that records the revision at which each row was last changed or removed, so that a follower can be
// sent only the changes it lacks.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

namespace cairnhollow::registered::registry {

template <class Key, class Row>
class RevisedTable {
 public:
  bool operator==(const RevisedTable&) const = default;
  [[nodiscard]] const Row* find(const Key& key) const {
    const auto found = rows_.find(key);
    return found == rows_.end() ? nullptr : &found->second.row;
  }
  void put(const Key& key, Row row, std::uint64_t revision) {
    rows_[key] = Revised{std::move(row), revision};
    removed_.erase(key);
  }
  /// Returns true if the row existed.
  bool remove(const Key& key, std::uint64_t revision) {
    if (rows_.erase(key) == 0) return false;
    removed_[key] = revision;
    return true;
  }
  /// Removes a row without a record, for tables whose followers know rows by something else than the key.
  void erase(const Key& key) { rows_.erase(key); }
  /// Records the removal of what followers know by `key`, which need not be a row's key.
  void record_removed(const Key& key, std::uint64_t revision) { removed_[key] = revision; }
  void forget_removed_key(const Key& key) { removed_.erase(key); }
  /// Gives each row the key that `key_of` returns for it, at its revision.
  template <class KeyOf>
  void assign_keys(const KeyOf& key_of) {
    std::map<Key, Revised> rows;
    for (auto& [key, revised] : rows_) {
      Key assigned = key_of(revised.row);
      rows.emplace(std::move(assigned), std::move(revised));
    }
    rows_ = std::move(rows);
  }
  /// The revision at which the row was last written; 0 if there is no such row.
  [[nodiscard]] std::uint64_t revision_of(const Key& key) const {
    const auto found = rows_.find(key);
    return found == rows_.end() ? 0 : found->second.revision;
  }
  [[nodiscard]] std::vector<Row> changed_since(std::uint64_t revision) const {
    std::vector<Row> changed;
    for (const auto& [key, revised] : rows_) {
      if (revised.revision > revision) changed.push_back(revised.row);
    }
    return changed;
  }
  [[nodiscard]] std::vector<Key> removed_since(std::uint64_t revision) const {
    std::vector<Key> removed;
    for (const auto& [key, at] : removed_) {
      if (at > revision) removed.push_back(key);
    }
    return removed;
  }
  [[nodiscard]] std::vector<Row> all() const { return changed_since(0); }
  [[nodiscard]] std::size_t size() const { return rows_.size(); }
  [[nodiscard]] std::size_t removed_count() const { return removed_.size(); }
  [[nodiscard]] bool was_removed(const Key& key) const { return removed_.count(key) > 0; }
  /// Discards records of rows removed up to `revision`. Followers at earlier revisions then need the full
  /// state.
  void forget_removed(std::uint64_t revision) {
    for (auto entry = removed_.begin(); entry != removed_.end();) {
      entry = entry->second <= revision ? removed_.erase(entry) : std::next(entry);
    }
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(rows_, removed_);
  }

 private:
  struct Revised {
    Row row;
    std::uint64_t revision = 0;
    bool operator==(const Revised&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
      archive(row, revision);
    }
  };
  std::map<Key, Revised> rows_;
  std::map<Key, std::uint64_t> removed_;
};

}  // namespace cairnhollow::registered::registry
