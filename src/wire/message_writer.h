// Writes cereal's portable binary format on a little-endian machine, prefixed by the mark of the message
// format.
#pragma once

#include <bit>
#include <cereal/cereal.hpp>
#include <string>
#include <type_traits>

#include "wire/format.h"

namespace cairnhollow::wire {

class MessageWriter : public cereal::OutputArchive<MessageWriter, cereal::AllowEmptyClassElision> {
 public:
  explicit MessageWriter(Format format) : OutputArchive(this), format_(format), bytes_(format_mark(format)) {
    static_assert(std::endian::native == std::endian::little, "values are written in native byte order");
  }

  void write(const void* from, std::size_t size) { bytes_.append(static_cast<const char*>(from), size); }

  [[nodiscard]] Format format() const { return format_; }
  template <class Field>
  void handle_absent_field(const Field& field, const Field& earlier) {
    loses_field_ = loses_field_ || !(field == earlier);
  }
  /// Returns whether a field omitted by the format differs from the value that readers of the format assume.
  [[nodiscard]] bool loses_field() const { return loses_field_; }
  std::string take_bytes() { return std::move(bytes_); }

 private:
  Format format_;
  bool loses_field_ = false;
  std::string bytes_;
};

// Overloads called by cereal for the basic types, found by argument-dependent lookup.

template <class Value>
requires std::is_arithmetic_v<Value>
void save(MessageWriter& writer, const Value& value) { writer.write(&value, sizeof value); }

template <class Size>
void save(MessageWriter& writer, const cereal::SizeTag<Size>& tag) {
  const std::uint64_t size = tag.size;
  writer.write(&size, sizeof size);
}

template <class Pointer>
void save(MessageWriter& writer, const cereal::BinaryData<Pointer>& data) {
  writer.write(data.data, static_cast<std::size_t>(data.size));
}

template <class Value>
void save(MessageWriter& writer, const cereal::NameValuePair<Value>& pair) {
  writer(pair.value);
}

}  // namespace cairnhollow::wire
