// Computes the minimum encoded size of a type in bytes, so that a list can be rejected before memory is
// allocated for more elements than the message can hold.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

#include "wire/format.h"

namespace cairnhollow::wire {

/// Returns the minimum encoded size of a value in bytes.
template <class Value>
std::size_t min_encoded_size();

/// Archive that adds up the sizes of the fields present in every format.
class FieldSizeSum {
 public:
  template <class... Fields>
  void operator()(Fields&... /*fields*/) {
    ((size_ += min_encoded_size<std::remove_cv_t<Fields>>()), ...);
  }
  [[nodiscard]] static Format format() { return kEarliestFormat; }
  template <class Field>
  void handle_absent_field(Field& /*field*/, const Field& /*earlier*/) {}
  [[nodiscard]] std::size_t size() const { return size_; }

 private:
  std::size_t size_ = 0;
};

template <class Value>
struct MinEncodedSize {
  static std::size_t get() {
    if constexpr (std::is_arithmetic_v<Value> || std::is_enum_v<Value>) {
      return sizeof(Value);
    } else {
      FieldSizeSum sum;
      Value value{};
      value.serialize(sum);
      return sum.size();
    }
  }
};

/// Strings and lists begin with their length.
struct MinEncodedSizeOfList {
  static std::size_t get() { return sizeof(std::uint64_t); }
};
template <>
struct MinEncodedSize<std::string> : MinEncodedSizeOfList {};
template <class Value>
struct MinEncodedSize<std::vector<Value>> : MinEncodedSizeOfList {};
template <class Value>
struct MinEncodedSize<std::deque<Value>> : MinEncodedSizeOfList {};
template <class Key, class Value>
struct MinEncodedSize<std::map<Key, Value>> : MinEncodedSizeOfList {};

template <class Value>
struct MinEncodedSize<std::optional<Value>> {
  static std::size_t get() { return 1; }
};

/// A variant begins with the index of its alternative.
template <class... Values>
struct MinEncodedSize<std::variant<Values...>> {
  static std::size_t get() { return sizeof(std::int32_t) + std::min({min_encoded_size<Values>()...}); }
};

template <class Value>
std::size_t min_encoded_size() {
  static const std::size_t size = MinEncodedSize<Value>::get();
  return size;
}

}  // namespace cairnhollow::wire
