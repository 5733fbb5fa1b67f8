// A sorted list with structural sharing: copying it and changing one element copies about the square root of
// the length in pointers, rather than the whole list.
#pragma once

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <memory>
#include <utility>
#include <vector>

namespace cairnhollow::declared::routing {

/// Elements in ascending order of `Order::key_of(element)`, one per key, in copy-on-write chunks. Not
/// thread-safe: lists that share chunks must be used by one thread. `Order::Key` is compared by `<`; `key_of`
/// may return a reference into the element.
template <class Value, class Order>
class SharedList {
  using Chunk = std::vector<Value>;

 public:
  using Key = typename Order::Key;

  /// Valid until its list is modified.
  class Iterator {
   public:
    using iterator_category = std::forward_iterator_tag;
    using value_type = Value;
    using difference_type = std::ptrdiff_t;
    using pointer = const Value*;
    using reference = const Value&;

    Iterator() = default;
    Iterator(const SharedList* list, std::size_t chunk) : list_(list), chunk_(chunk) {}
    reference operator*() const { return (*list_->chunks_[chunk_])[place_]; }
    pointer operator->() const { return &**this; }
    Iterator& operator++() {
      if (++place_ < list_->chunks_[chunk_]->size()) return *this;
      ++chunk_;
      place_ = 0;
      return *this;
    }
    Iterator operator++(int) {
      Iterator before = *this;
      ++*this;
      return before;
    }
    bool operator==(const Iterator&) const = default;

   private:
    const SharedList* list_ = nullptr;
    std::size_t chunk_ = 0;
    std::size_t place_ = 0;
  };

  [[nodiscard]] Iterator begin() const { return Iterator(this, 0); }
  [[nodiscard]] Iterator end() const { return Iterator(this, chunks_.size()); }
  [[nodiscard]] std::size_t size() const { return size_; }
  [[nodiscard]] bool empty() const { return size_ == 0; }

  /// Returns null if there is no element with this key. Takes logarithmic time.
  [[nodiscard]] const Value* find(const Key& key) const {
    if (chunks_.empty()) return nullptr;
    const Chunk& chunk = *chunks_[chunk_for(key)];
    const auto place = position_for(chunk, key);
    return place != chunk.end() && !(key < Order::key_of(*place)) ? &*place : nullptr;
  }

  /// Inserts the element, replacing the one with the same key if there is one.
  void put(Value value) {
    if (chunks_.empty()) chunks_.push_back(std::make_shared<Chunk>());
    const std::size_t at = chunk_for(Order::key_of(value));
    Chunk& chunk = mutable_chunk(at);
    const auto place = chunk.begin() + (position_for(chunk, Order::key_of(value)) - chunk.cbegin());
    if (place != chunk.end() && !(Order::key_of(value) < Order::key_of(*place))) {
      *place = std::move(value);
      return;
    }
    chunk.insert(place, std::move(value));
    ++size_;
    if (chunk.size() >= 2 * kChunkLength) split_chunk(at);
  }

  /// Does nothing if there is no element with this key.
  void erase(const Key& key) {
    if (find(key) == nullptr) return;
    const std::size_t at = chunk_for(key);
    Chunk& chunk = mutable_chunk(at);
    chunk.erase(position_for(chunk, key));
    --size_;
    if (chunk.empty()) chunks_.erase(chunks_.begin() + static_cast<std::ptrdiff_t>(at));
  }

 private:
  /// A chunk that reaches twice this number of elements is split.
  static constexpr std::size_t kChunkLength = 64;

  using ChunkPointer = std::shared_ptr<Chunk>;

  /// Index of the chunk that holds the key, or into which it would be inserted.
  [[nodiscard]] std::size_t chunk_for(const Key& key) const {
    const auto behind = std::upper_bound(chunks_.begin(), chunks_.end(), key,
                                         [](const Key& wanted, const ChunkPointer& chunk) {
                                           return !chunk->empty() && wanted < Order::key_of(chunk->front());
                                         });
    return behind == chunks_.begin() ? 0 : static_cast<std::size_t>(behind - chunks_.begin()) - 1;
  }
  static typename Chunk::const_iterator position_for(const Chunk& chunk, const Key& key) {
    return std::lower_bound(chunk.begin(), chunk.end(), key, [](const Value& value, const Key& wanted) {
      return Order::key_of(value) < wanted;
    });
  }
  /// Returns the chunk for modification, after copying it if another list shares it.
  Chunk& mutable_chunk(std::size_t at) {
    auto& chunk = chunks_[at];
    if (chunk.use_count() > 1) chunk = std::make_shared<Chunk>(*chunk);
    return *chunk;
  }
  void split_chunk(std::size_t at) {
    auto& chunk = *chunks_[at];
    const auto middle = chunk.begin() + kChunkLength;
    auto behind =
        std::make_shared<Chunk>(std::make_move_iterator(middle), std::make_move_iterator(chunk.end()));
    chunk.erase(middle, chunk.end());
    chunks_.insert(chunks_.begin() + static_cast<std::ptrdiff_t>(at) + 1, std::move(behind));
  }

  std::vector<ChunkPointer> chunks_;  ///< none is empty
  std::size_t size_ = 0;
};

}  // namespace cairnhollow::declared::routing
