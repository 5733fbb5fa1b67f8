// Reads the output of MessageWriter from untrusted bytes. Lengths are checked against the remaining message,
// so that a frame of a few bytes cannot make its reader allocate gigabytes.
#pragma once

#include <bit>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <cstring>
#include <deque>
#include <string_view>
#include <type_traits>
#include <vector>

#include "wire/format.h"
#include "wire/message_writer.h"
#include "wire/min_encoded_size.h"

namespace cairnhollow::wire {

/// Input archive over bytes in memory, which must outlive it. Throws cereal::Exception, which decode()
/// catches.
class MessageReader : public cereal::InputArchive<MessageReader, cereal::AllowEmptyClassElision> {
 public:
  /// `bytes` is a whole message. `format` applies if they are not marked.
  MessageReader(std::string_view bytes, Format format)
      : InputArchive(this), format_(marked_format(bytes).value_or(format)), unread_(bytes) {
    const std::string mark = format_mark(format_);
    if (!unread_.starts_with(mark))
      throw cereal::Exception(
          "message starts with neither a format mark nor the little-endian byte order flag");
    unread_.remove_prefix(mark.size());
  }

  void read(void* to, std::size_t size) {
    check_remaining(size, 1);
    if (size > 0) std::memcpy(to, unread_.data(), size);
    unread_.remove_prefix(size);
  }

  /// Throws if `count` elements of at least `min_encoded_size` bytes each exceed the remaining bytes.
  void check_remaining(std::uint64_t count, std::size_t min_encoded_size) const {
    const std::size_t size = min_encoded_size > 0 ? min_encoded_size : 1;
    if (count > unread_.size() / size)
      throw cereal::Exception("encoded length is more than the message holds");
  }

  [[nodiscard]] Format format() const { return format_; }
  template <class Field>
  void handle_absent_field(Field& field, const Field& earlier) const {
    field = earlier;
  }
  [[nodiscard]] bool at_end() const { return unread_.empty(); }

 private:
  Format format_;
  std::string_view unread_;
};

// Overloads called by cereal for the basic types, found by argument-dependent lookup.

template <class Value>
requires std::is_arithmetic_v<Value>
void load(MessageReader& reader, Value& value) { reader.read(&value, sizeof value); }

inline void load(MessageReader& reader, bool& value) {
  std::uint8_t byte = 0;
  reader.read(&byte, sizeof byte);
  if (byte > 1) throw cereal::Exception("encoded bool is neither true nor false");
  value = byte == 1;
}

/// Length of strings and maps: cereal reads map entries one by one and allocates a string at once.
template <class Size>
void load(MessageReader& reader, cereal::SizeTag<Size>& tag) {
  std::uint64_t size = 0;
  reader.read(&size, sizeof size);
  reader.check_remaining(size, 1);
  tag.size = static_cast<std::remove_reference_t<Size>>(size);
}

template <class Pointer>
void load(MessageReader& reader, cereal::BinaryData<Pointer>& data) {
  reader.read(data.data, static_cast<std::size_t>(data.size));
}

template <class Value>
void load(MessageReader& reader, cereal::NameValuePair<Value>& pair) {
  reader(pair.value);
}

/// Lists are allocated as a whole; cereal's own overload would do so for an unchecked length.
template <class List>
void load_list(MessageReader& reader, List& list) {
  std::uint64_t count = 0;
  reader.read(&count, sizeof count);
  reader.check_remaining(count, min_encoded_size<typename List::value_type>());
  list.resize(static_cast<std::size_t>(count));
  for (auto& element : list) reader(element);
}

template <class Value, class Allocator>
void load(MessageReader& reader, std::vector<Value, Allocator>& list) {
  static_assert(!std::is_same_v<Value, bool>, "std::vector<bool> has no references to its elements");
  load_list(reader, list);
}

template <class Value, class Allocator>
void load(MessageReader& reader, std::deque<Value, Allocator>& list) {
  load_list(reader, list);
}

}  // namespace cairnhollow::wire

// Tells cereal which input and output archives belong together.
template <>
struct cereal::traits::detail::get_output_from_input<cairnhollow::wire::MessageReader> {
  using type = cairnhollow::wire::MessageWriter;
};
template <>
struct cereal::traits::detail::get_input_from_output<cairnhollow::wire::MessageWriter> {
  using type = cairnhollow::wire::MessageReader;
};
