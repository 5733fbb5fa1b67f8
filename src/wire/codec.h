// Encodes and decodes typed messages. Every message type has a `template <class Archive> void
// serialize(Archive&)`; a field added later is serialized by wire::since() with the format that added it.
#pragma once

#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <optional>
#include <string>

#include "base/reason.h"
#include "wire/format.h"
#include "wire/message_reader.h"
#include "wire/message_writer.h"

namespace cairnhollow::wire {

/// Fields that `format` lacks are omitted. Readers set them to the value that implies the earlier behaviour;
/// see since().
template <class Message>
std::string encode(const Message& message, Format format = kWrittenFormat) {
  MessageWriter writer(format);
  writer(message);
  return writer.take_bytes();
}

/// Returns whether readers of `format` decode the same message as readers of the newest format.
template <class Message>
bool fits_format(const Message& message, Format format) {
  MessageWriter writer(format);
  writer(message);
  return !writer.loses_field();
}

/// Runs `write(writer)` in the earliest format, starting at `level`, that loses no field, and returns the
/// bytes.
template <class Write>
std::string write_from(Format level, const Write& write) {
  for (Format format = level;; ++format) {
    MessageWriter writer(format);
    write(writer);
    if (!writer.loses_field() || format >= kNewestFormat) return writer.take_bytes();
  }
}

template <class Message>
std::string encode_from(const Message& message, Format level) {
  return write_from(level, [&](MessageWriter& writer) { writer(message); });
}

/// Runs `read(reader)` over the bytes in their marked format. Unmarked bytes are read in the latest unmarked
/// format or, if they do not match it, in the one before. Fails with kCorrupt if the bytes match neither, and
/// with kUnsupported if a newer build wrote them. `read` may run twice; its results are valid only on
/// success.
template <class Read>
bool read_message(const std::string& bytes, const Read& read, Reason& reason) {
  if (auto unreadable = unreadable_format(bytes)) {
    reason = Reason{ReasonCode::kUnsupported, "decode_message", "", std::move(*unreadable)};
    return false;
  }
  const Format earliest = marked_format(bytes) ? kReplicaWaitFormat : kEarliestFormat;
  Reason first_reason;
  for (Format format = kReplicaWaitFormat; format >= earliest; --format) {
    std::string fault = "bytes left over after the end of the message";
    try {
      MessageReader reader(bytes, format);
      read(reader);
      if (reader.at_end()) return true;
    } catch (const std::exception& error) {
      fault = error.what();
    }
    if (!first_reason.failed())
      first_reason = Reason{ReasonCode::kCorrupt, "decode_message", "", std::move(fault)};
  }
  reason = std::move(first_reason);
  return false;
}

/// Returns std::nullopt with kCorrupt if the bytes are not a complete message of this type, or with
/// kUnsupported if a newer build wrote them.
template <class Message>
std::optional<Message> decode(const std::string& bytes, Reason& reason) {
  std::optional<Message> message;
  const auto read = [&](MessageReader& reader) { reader(message.emplace()); };
  if (!read_message(bytes, read, reason)) message.reset();
  return message;
}

}  // namespace cairnhollow::wire
