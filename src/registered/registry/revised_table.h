// A table that knows at which revision each of its rows changed or went, so that a follower is sent only what
// is new to it.
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
  /// True when there was such a row.
  bool remove(const Key& key, std::uint64_t revision) {
    if (rows_.erase(key) == 0) return false;
    removed_[key] = revision;
    return true;
  }
  /// When the row was put last; 0: there is none.
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
  /// Forgets what was removed up to `revision`. Followers from before need everything.
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
