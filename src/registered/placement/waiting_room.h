// Bounds how many statements wait at a proxy at once, and how many bytes they hold. Beyond it, the least
// urgent ones lose their places. A plain data structure: the waiting statements ask whether they still have
// theirs.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace cairnhollow::registered::placement {

/// Statements that wait for a lease, a primary, a backend or another proxy: about 8 KB each for their state,
/// a tenth of a small proxy's 160 MB together.
inline constexpr std::size_t kMaxWaitingStatements = 2000;
/// Bytes of the waiting statements' own texts and values: another tenth.
inline constexpr std::size_t kMaxWaitingBytes = 16U << 20U;

class WaitingRoom {
 public:
  /// A statement's place. Statements with a lower key are more urgent.
  struct Place {
    std::uint64_t priority = 0;  ///< of its route; 0 is the highest
    std::uint64_t arrival = 0;   ///< order of arrival
    auto operator<=>(const Place&) const = default;
  };

  explicit WaitingRoom(std::size_t max_statements = kMaxWaitingStatements,
                       std::size_t max_bytes = kMaxWaitingBytes)
      : max_statements_(max_statements), max_bytes_(max_bytes) {}

  /// Returns std::nullopt if the room is full of statements that are at least as urgent. Otherwise the least
  /// urgent ones lose their places as needed.
  std::optional<Place> enter(std::uint64_t priority, std::size_t bytes) {
    const Place place{priority, next_arrival_++};
    if (!has_room_beside_more_urgent(place, bytes)) return std::nullopt;
    sizes_.emplace(place, bytes);
    bytes_ += bytes;
    while (sizes_.size() > max_statements_ || bytes_ > max_bytes_) leave(sizes_.rbegin()->first);
    return place;
  }
  /// Whether the statement still has its place.
  [[nodiscard]] bool holds(const Place& place) const { return sizes_.count(place) > 0; }
  /// No effect if the statement has lost its place.
  void leave(Place place) {
    const auto found = sizes_.find(place);
    if (found == sizes_.end()) return;
    bytes_ -= found->second;
    sizes_.erase(found);
  }
  [[nodiscard]] std::size_t size() const { return sizes_.size(); }

 private:
  /// Whether the statement fits once all that are less urgent have left.
  [[nodiscard]] bool has_room_beside_more_urgent(const Place& place, std::size_t bytes) const {
    if (sizes_.size() < max_statements_ && bytes_ + bytes <= max_bytes_) return true;
    std::size_t statements = 1;
    const auto end = sizes_.lower_bound(place);
    for (auto entry = sizes_.begin(); entry != end; ++entry) {
      ++statements;
      bytes += entry->second;
    }
    return statements <= max_statements_ && bytes <= max_bytes_;
  }

  std::size_t max_statements_;
  std::size_t max_bytes_;
  std::map<Place, std::size_t> sizes_;
  std::size_t bytes_ = 0;
  std::uint64_t next_arrival_ = 0;
};

}  // namespace cairnhollow::registered::placement
